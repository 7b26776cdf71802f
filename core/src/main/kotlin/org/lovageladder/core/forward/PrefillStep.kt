package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration

/**
 * Prefill of one prompt on a prefill engine, before its decode. [onResult] gets the result, or null when the decode
 * engine has to prefill the prompt itself: no prefill engine is available, two of them refused or failed, the retry
 * budget does not allow another prefill, or the request may not be sent any more, which is checked again before the
 * decode. [onBudgetExhausted] is called when a failed call reached an engine and the retry budget does not allow what
 * would follow, not even the decode. Engines that refuse or fail are added to [avoidedEngines]. Confined to one thread.
 */
internal class PrefillStep(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val estimates: StreamEstimates,
    private val avoidedEngines: MutableSet<UpstreamName>,
    private val onResult: (PrefillResult?) -> Unit,
    private val onBudgetExhausted: () -> Unit,
) {
    private var call: Cancellable? = null
    private var engine: UpstreamName? = null
    private var isPrefilled = false

    /** When the prompt was last sent to a prefill engine. */
    var sentAt: Moment? = null
        private set

    /** Begins the prefill. */
    fun start() {
        val upstream = chooseEngine()
        val isInadmissible = context.promptGuard.isQuarantined(request) ||
            context.keyCheck.check(request, destination.route) != null
        if (upstream == null || isInadmissible || !mayPrefill()) onResult(null) else startPrefill(upstream)
    }

    /** Cancels a prefill in progress. */
    fun cancel() {
        call?.cancel()
        engine?.let { context.upstreamSelector.health(it).inFlight -= 1 }
        engine = null
    }

    private fun chooseEngine(): UpstreamRegistration? {
        if (request.generation == null || !context.isEnabled(Mechanism.SEPARATE_PREFILL)) return null
        return context.upstreamSelector
            .candidates(destination.service, PoolRole.PREFILL, context.now(), avoidedEngines)
            .firstOrNull {
                it.name !in avoidedEngines && context.upstreamSelector.hasRoom(it.name, request, context.now())
            }
    }

    /** The first prefill of a prompt belongs to the request itself; each further one is a retry. */
    private fun mayPrefill() = !isPrefilled || context.retryBudget.tryAcquire(destination.service, context.now())

    private fun startPrefill(upstream: UpstreamRegistration) {
        val health = context.upstreamSelector.health(upstream.name)
        health.inFlight += 1
        engine = upstream.name
        val detail = "prefill of ${destination.route.name}"
        context.record(EventKind.REQUEST_SENT, request.id, upstream.name, detail = detail)
        val startedAt = context.now()
        sentAt = startedAt
        val timeout = minOf(RequestDeadlines(request, destination.route).remaining(startedAt), estimates.prefillTimeout)
        call =
            context.upstreamPort.prefill(request, UpstreamAttempt(upstream.incarnation, timeout)) { answer ->
                call = null
                engine = null
                health.inFlight -= 1
                if (answer is EngineAnswer.Done) recordCost(upstream.name, context.now() - startedAt)
                onAnswer(upstream, answer)
            }
    }

    private fun recordCost(upstream: UpstreamName, duration: Duration) {
        val tokens = request.generation?.promptTokens ?: return
        estimates.rolePlan.recordPrefill(duration, tokens)
        val now = context.now()
        val observed = context.upstreamSelector.observe(upstream, now) ?: return
        context.upstreamSelector.capacity?.recordPrefill(observed, tokens, duration, now)
    }

    private fun onAnswer(upstream: UpstreamRegistration, answer: EngineAnswer<PrefillResult>) {
        when (answer) {
            is EngineAnswer.Done -> {
                context.upstreamSelector.health(upstream.name).recordSuccess()
                isPrefilled = true
                onResult(answer.value)
            }
            is EngineAnswer.Refused -> {
                if (answer.isWrongInstance) context.removeReplaced(upstream.name, request.id)
                context.upstreamSelector.health(upstream.name).recordDecline(context.now())
                avoidedEngines += upstream.name
                context.record(
                    EventKind.REQUEST_DECLINED,
                    request.id,
                    upstream.name,
                    detail = "prefill ${answer.status}",
                )
                continueAfterFailure(reachedEngine = true)
            }
            is EngineAnswer.Failed -> {
                avoidedEngines += upstream.name
                context.recordFailure(upstream.name, request.id, "prefill", answer.failure)
                continueAfterFailure(reachedEngine = answer.failure.sent)
            }
        }
    }

    /** Continues after a failed engine. If the call [reachedEngine], whatever follows is a retry. */
    private fun continueAfterFailure(reachedEngine: Boolean) {
        when {
            reachedEngine && !context.retryBudget.tryAcquire(destination.service, context.now()) -> onBudgetExhausted()
            avoidedEngines.size < MAXIMUM_ENGINES -> start()
            else -> onResult(null)
        }
    }

    private companion object {
        const val MAXIMUM_ENGINES = 2
    }
}
