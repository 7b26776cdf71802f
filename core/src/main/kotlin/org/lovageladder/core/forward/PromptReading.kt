package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration

/**
 * The prompt of one generation, read by a prefill engine ahead of its decode engine. [read] gets the result, or null
 * when the decode engine is to read the prompt itself: no prefill engine is in reach, two of them refused or failed, or
 * the retry budget has nothing left for reading it again. [outOfBudget] is called when a call that reached an engine
 * leaves nothing for the decode. Engines that refuse or fail are added to [avoid]. Confined to one thread.
 */
internal class PromptReading(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val pace: StreamPace,
    private val avoid: MutableSet<UpstreamName>,
    private val read: (PrefillResult?) -> Unit,
    private val outOfBudget: () -> Unit,
) {
    private var call: RunningCall? = null
    private var engine: UpstreamName? = null
    private var wasRead = false

    /** Begins to read the prompt. */
    fun start() {
        val member = choose()
        if (member == null || !mayRead()) read(null) else ask(member)
    }

    /** Breaks off what is under way. */
    fun cancel() {
        call?.cancel()
        engine?.let { context.board.health(it).inFlight -= 1 }
        engine = null
    }

    private fun choose(): Member? {
        if (request.generation == null || !context.uses(Mechanism.SEPARATE_PREFILL)) return null
        return context.board
            .candidates(destination.service, PoolRole.PREFILL, context.now(), avoid)
            .firstOrNull { it.name !in avoid }
    }

    /** The first reading of a prompt is part of the request; each further one is a repeat. */
    private fun mayRead() = !wasRead || context.budget.tryRepeat(destination.service, context.now())

    private fun ask(member: Member) {
        val health = context.board.health(member.name)
        health.inFlight += 1
        engine = member.name
        val detail = "prefill of ${destination.route.name}"
        context.record(EventKind.REQUEST_SENT, request.id, member.name, detail = detail)
        val sent = context.now()
        val limit = minOf(RequestTime(request, destination.route).remaining(sent), pace.prefillLimit)
        call =
            context.calls.prefill(request, Sending(member.start, limit)) { answer ->
                call = null
                engine = null
                health.inFlight -= 1
                if (answer is EngineAnswer.Done) noteCost(context.now() - sent)
                answered(member, answer)
            }
    }

    private fun noteCost(taken: Duration) {
        request.generation?.let { pace.roles.prefilled(taken, it.promptTokens) }
    }

    private fun answered(member: Member, answer: EngineAnswer<PrefillResult>) {
        when (answer) {
            is EngineAnswer.Done -> {
                context.board.health(member.name).succeeded()
                wasRead = true
                read(answer.value)
            }
            is EngineAnswer.Refused -> {
                if (answer.wrongInstance) context.replaced(member.name, request.id)
                context.board.health(member.name).declined(context.now())
                avoid += member.name
                context.record(EventKind.REQUEST_DECLINED, request.id, member.name, detail = "prefill ${answer.status}")
                failed(reached = true)
            }
            is EngineAnswer.Failed -> {
                avoid += member.name
                context.failed(member.name, request.id, "prefill", answer.failure)
                failed(reached = answer.failure.sent)
            }
        }
    }

    /** Goes on after an engine that failed; one that was [reached] makes what follows a repeat. */
    private fun failed(reached: Boolean) {
        when {
            reached && !context.budget.tryRepeat(destination.service, context.now()) -> outOfBudget()
            avoid.size < MOST_ENGINES -> start()
            else -> read(null)
        }
    }

    private companion object {
        const val MOST_ENGINES = 2
    }
}
