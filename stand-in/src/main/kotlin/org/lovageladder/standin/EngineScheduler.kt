package org.lovageladder.standin

/** The calls of an engine from acceptance to finish or cancel: prefill, transfer, decode, and the memory they hold. */
internal class EngineCalls(
    private val thread: EventLoopThread,
    private val settings: EngineSettings,
    private val slowness: Slowness,
    private val kept: KeptPrefills,
    private val prefixes: PrefixCache,
    private val prefillAddress: () -> TransferParameters,
) {
    private val calls = LinkedHashSet<EngineCall>()
    private val memory = PieceMemory(settings.pieces, settings.pieceTokens)
    private val prefills = PrefillQueue(thread, settings.prefillTokensPerSecond, slowness)
    private val batch = DecodeBatch(thread, settings, slowness) { finish(it, FinishReason.LENGTH) }
    private var cancelled = 0L
    private var rejected = 0L
    private var completed = 0L
    private var cachedTokens = 0L

    /** Accepts a call or throws [RequestRefused]; the outcome goes to [CompletionAnswer]. */
    fun accept(request: CompletionRequest, exchange: HttpExchange, role: EngineRole) {
        val onlyPrefill = request.transfer?.remoteDecode == true
        checkRole(role, onlyPrefill)
        val source = request.transfer?.takeIf { it.remotePrefill }?.let { FetchSource.of(it) }
        val pieces = if (onlyPrefill) 0 else holdMemory(request)
        val answer = CompletionAnswer(request, exchange, request.model ?: settings.name)
        val call = EngineCall(request, answer, pieces)
        calls.add(call)
        if (settings.freeOnDisconnect) {
            exchange.onClosed = { cancel(call) }
        }
        when {
            onlyPrefill -> prefill(call) { finishPrefill(call) }
            source != null -> fetch(call, source)
            else -> prefill(call) { decode(call) }
        }
    }

    /** Ends all calls named [requestId] at once and frees their memory; returns whether there was one. */
    fun cancel(requestId: String): Boolean {
        val found = calls.filter { it.request.requestId == requestId }
        found.forEach { cancel(it) }
        return found.isNotEmpty()
    }

    fun running(): RunningCalls = RunningCalls(
        running = calls.map { RunningCall(it.request.requestId, it.pieces, it.produced) },
        totalPieces = memory.totalPieces,
        heldPieces = memory.heldPieces,
    )

    fun load(): EngineLoad = EngineLoad(
        running = batch.size + prefills.runningCount,
        waiting = calls.size - batch.size - prefills.runningCount,
        memoryShare = memory.heldPieces.toDouble() / memory.totalPieces,
    )

    fun stats(): EngineStats = EngineStats(
        prefillTokens = prefills.tokensTotal,
        decodeTokens = batch.tokensTotal,
        prefillsExpired = kept.expiredTotal,
        prefillTokensExpired = kept.expiredTokensTotal,
        cachedTokens = cachedTokens,
        cancelled = cancelled,
        rejected = rejected,
        completed = completed,
        heldPieces = memory.heldPieces,
        running = calls.size,
    )

    private fun checkRole(role: EngineRole, onlyPrefill: Boolean) {
        val fits = if (onlyPrefill) role.takesPrefill else role.takesDecode
        if (!fits) {
            val wanted = if (onlyPrefill) "prefill" else "decode"
            val reason = "engine ${settings.name} has role ${role.word} and takes no $wanted call"
            throw RequestRefused(RequestRefused.BAD_REQUEST, "wrong_role", reason)
        }
    }

    private fun holdMemory(request: CompletionRequest): Int {
        val pieces = memory.piecesFor(request.promptTokens + request.maximumTokens)
        val decodeCalls = calls.count { it.pieces > 0 }
        if (decodeCalls >= settings.maximumRunning || !memory.tryHold(pieces)) {
            rejected++
            val reason =
                "$pieces pieces wanted, ${memory.heldPieces} of ${memory.totalPieces} held, " +
                    "$decodeCalls of ${settings.maximumRunning} calls running"
            throw RequestRefused(RequestRefused.UNAVAILABLE, "out_of_memory", reason)
        }
        return pieces
    }

    private fun prefill(call: EngineCall, onPrefilled: () -> Unit) {
        val queued =
            prefills.add(call.request.priority, { missingTokens(call) }) {
                cachedTokens += call.cachedTokens
                prefixes.store(call.request.prompt)
                onPrefilled()
            }
        call.withdraw = { prefills.remove(queued) }
    }

    private fun missingTokens(call: EngineCall): Int {
        call.cachedTokens = prefixes.cachedTokens(call.request.prompt)
        return call.request.prefillTokens - call.cachedTokens
    }

    private fun fetch(call: EngineCall, source: FetchSource) {
        val fetch =
            PrefillFetch.start(thread, source) { outcome ->
                when (outcome) {
                    FetchOutcome.FETCHED -> decode(call)
                    FetchOutcome.EXPIRED ->
                        fail(call, RequestRefused.GONE, "kv_expired", "prefill result ${source.requestId} has expired")
                    FetchOutcome.UNREACHABLE ->
                        fail(call, BAD_GATEWAY, "kv_unreachable", "transfer from port ${source.port} broke off")
                }
            }
        call.withdraw = { fetch.cancel() }
    }

    private fun decode(call: EngineCall) {
        batch.add(call)
        call.withdraw = { batch.remove(call) }
    }

    private fun finishPrefill(call: EngineCall) {
        val name = kept.keep(call.request.requestId, call.request.prefillTokens)
        val blocks = memory.piecesFor(call.request.prefillTokens)
        call.answer.token(call.nextToken)
        call.nextToken++
        finish(call, FinishReason.LENGTH, prefillAddress().copy(requestId = name, blockIds = List(blocks) { it }))
    }

    private fun finish(call: EngineCall, reason: FinishReason, transfer: TransferParameters? = null) {
        completed++
        release(call)
        call.answer.finish(reason, call, transfer)
    }

    private fun fail(call: EngineCall, status: Int, type: String, message: String) {
        release(call)
        call.answer.fail(RequestRefused(status, type, message))
    }

    private fun cancel(call: EngineCall) {
        if (call !in calls) {
            return
        }
        cancelled++
        call.withdraw()
        release(call)
        call.answer.finish(FinishReason.CANCELLED, call)
    }

    private fun release(call: EngineCall) {
        if (calls.remove(call)) {
            memory.free(call.pieces)
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
    }
}
