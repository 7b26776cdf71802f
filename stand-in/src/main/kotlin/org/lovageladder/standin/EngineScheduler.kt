package org.lovageladder.standin

/** Runs the calls of an engine through prefill, transfer and decode, and accounts for the memory that they hold. */
internal class EngineScheduler(
    private val thread: EventLoopThread,
    private val settings: EngineSettings,
    private val slowness: Slowness,
    private val prefillResults: PrefillResults,
    private val prefixCache: PrefixCache,
    private val ownTransferParameters: () -> TransferParameters,
) {
    private val calls = LinkedHashSet<EngineCall>()
    private val memory = PieceMemory(settings.pieces, settings.pieceTokens)
    private val prefillQueue = PrefillQueue(thread, settings.prefillTokensPerSecond, slowness)
    private val decodeBatch = DecodeBatch(thread, settings, slowness) { finish(it, FinishReason.LENGTH) }
    private var cancelled = 0L
    private var rejected = 0L
    private var completed = 0L
    private var cachedTokens = 0L

    /** Starts a call, which answers [exchange] when it ends; throws [RequestRefused] when it is not accepted. */
    fun accept(request: CompletionRequest, exchange: HttpExchange, role: EngineRole) {
        val prefillOnly = request.transfer?.remoteDecode == true
        checkRole(role, prefillOnly)
        val source = request.transfer?.takeIf { it.remotePrefill }?.let { FetchSource.from(it) }
        val pieces = if (prefillOnly) 0 else allocateMemory(request)
        val writer = CompletionWriter(request, exchange, request.model ?: settings.name)
        val call = EngineCall(request, writer, pieces)
        calls.add(call)
        if (settings.freeOnDisconnect) {
            exchange.onDisconnect = { cancel(call) }
        }
        when {
            prefillOnly -> prefill(call) { finishPrefill(call) }
            source != null -> fetch(call, source)
            else -> prefill(call) { decode(call) }
        }
    }

    /** Cancels all calls with [requestId] and frees their memory at once; returns whether there were any. */
    fun cancel(requestId: String): Boolean {
        val found = calls.filter { it.request.requestId == requestId }
        found.forEach { cancel(it) }
        return found.isNotEmpty()
    }

    fun runningCalls(): RunningCalls = RunningCalls(
        running = calls.map { RunningCall(it.request.requestId, it.pieces, it.producedTokens) },
        totalPieces = memory.totalPieces,
        heldPieces = memory.heldPieces,
    )

    fun currentLoad(): EngineLoad = EngineLoad(
        running = decodeBatch.size + prefillQueue.runningCount,
        waiting = calls.size - decodeBatch.size - prefillQueue.runningCount,
        memoryUsage = memory.heldPieces.toDouble() / memory.totalPieces,
    )

    fun stats(): EngineStats = EngineStats(
        prefillTokens = prefillQueue.prefilledTokens,
        decodeTokens = decodeBatch.producedTokens,
        prefillsExpired = prefillResults.expiredCount,
        prefillTokensExpired = prefillResults.expiredTokens,
        cachedTokens = cachedTokens,
        cancelled = cancelled,
        rejected = rejected,
        completed = completed,
        heldPieces = memory.heldPieces,
        running = calls.size,
    )

    private fun checkRole(role: EngineRole, prefillOnly: Boolean) {
        val isAccepted = if (prefillOnly) role.acceptsPrefill else role.acceptsDecode
        if (!isAccepted) {
            val stage = if (prefillOnly) "prefill" else "decode"
            val reason = "engine ${settings.name} has role ${role.wireName} and accepts no $stage call"
            throw RequestRefused(RequestRefused.BAD_REQUEST, "wrong_role", reason)
        }
    }

    private fun allocateMemory(request: CompletionRequest): Int {
        val pieces = memory.piecesFor(request.promptTokens + request.maximumTokens)
        val decodeCallCount = calls.count { it.pieces > 0 }
        if (decodeCallCount >= settings.maximumRunning || !memory.tryAllocate(pieces)) {
            rejected++
            val reason =
                "$pieces pieces requested, ${memory.heldPieces} of ${memory.totalPieces} held, " +
                    "$decodeCallCount of ${settings.maximumRunning} calls running"
            throw RequestRefused(RequestRefused.UNAVAILABLE, "out_of_memory", reason)
        }
        return pieces
    }

    private fun prefill(call: EngineCall, onPrefilled: () -> Unit) {
        val queued =
            prefillQueue.add(call.request.priority, { uncachedTokens(call) }) {
                cachedTokens += call.cachedTokens
                prefixCache.store(call.request.prompt)
                onPrefilled()
            }
        call.cancelStage = { prefillQueue.remove(queued) }
    }

    private fun uncachedTokens(call: EngineCall): Int {
        call.cachedTokens = prefixCache.cachedTokens(call.request.prompt)
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
                        fail(call, BAD_GATEWAY, "kv_unreachable", "transfer from port ${source.port} failed")
                }
            }
        call.cancelStage = { fetch.cancel() }
    }

    private fun decode(call: EngineCall) {
        decodeBatch.add(call)
        call.cancelStage = { decodeBatch.remove(call) }
    }

    private fun finishPrefill(call: EngineCall) {
        val name = prefillResults.store(call.request.requestId, call.request.prefillTokens)
        val blocks = memory.piecesFor(call.request.prefillTokens)
        call.writer.writeToken(call.nextTokenIndex)
        call.nextTokenIndex++
        finish(
            call,
            FinishReason.LENGTH,
            ownTransferParameters().copy(requestId = name, blockIds = List(blocks) { it }),
        )
    }

    private fun finish(call: EngineCall, reason: FinishReason, transfer: TransferParameters? = null) {
        completed++
        releaseMemory(call)
        call.writer.finish(reason, call, transfer)
    }

    private fun fail(call: EngineCall, status: Int, type: String, message: String) {
        releaseMemory(call)
        call.writer.fail(RequestRefused(status, type, message))
    }

    private fun cancel(call: EngineCall) {
        if (call !in calls) {
            return
        }
        cancelled++
        call.cancelStage()
        releaseMemory(call)
        call.writer.finish(FinishReason.CANCELLED, call)
    }

    private fun releaseMemory(call: EngineCall) {
        if (calls.remove(call)) {
            memory.free(call.pieces)
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
    }
}
