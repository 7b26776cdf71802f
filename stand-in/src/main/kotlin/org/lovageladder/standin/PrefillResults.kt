package org.lovageladder.standin

import kotlin.time.Duration

/** Prefill results that decode engines can fetch; each expires [keepTime] after its prefill. */
internal class PrefillResults(
    private val thread: EventLoopThread,
    private val keepTime: Duration,
    private val link: SharedLink,
    private val bytesPerToken: Long,
) {
    private val results = HashMap<String, PrefillResult>()
    private var sequence = 0L

    /** Results that expired before any fetch of them was complete. */
    var expiredCount: Long = 0
        private set

    /** Total tokens of the results in [expiredCount]. */
    var expiredTokens: Long = 0
        private set

    /** Stores a result of [tokens] tokens and returns the name to fetch it by. */
    fun store(requestId: String, tokens: Int): String {
        val name = "$requestId-${sequence++}"
        results[name] = PrefillResult(tokens)
        thread.schedule(keepTime) { expire(name) }
        return name
    }

    /** Sends the result [name] over the link; answers 410 when it is unknown or expires before the transfer ends. */
    fun fetch(name: String, exchange: HttpExchange) {
        val result = results[name] ?: throw expiredAnswer(name)
        val bytes = result.tokens * bytesPerToken
        lateinit var transfer: LinkTransfer
        transfer =
            link.startTransfer(bytes) {
                result.transfers.remove(transfer)
                result.isFetched = true
                exchange.answer(StandInJson.lenient.encodeToString(FetchedPrefill.serializer(), FetchedPrefill(bytes)))
            }
        result.transfers[transfer] = exchange
        exchange.onDisconnect = {
            result.transfers.remove(transfer)
            link.abort(transfer)
        }
    }

    private fun expire(name: String) {
        val result = results.remove(name) ?: return
        if (!result.isFetched) {
            expiredCount++
            expiredTokens += result.tokens
        }
        result.transfers.forEach { (transfer, exchange) ->
            link.abort(transfer)
            exchange.refuse(expiredAnswer(name))
        }
    }

    companion object {
        fun expiredAnswer(name: String): RequestRefused {
            val reason = "prefill result $name is unknown or has expired"
            return RequestRefused(RequestRefused.GONE, "kv_expired", reason)
        }
    }
}

private class PrefillResult(val tokens: Int) {
    val transfers = LinkedHashMap<LinkTransfer, HttpExchange>()
    var isFetched = false
}
