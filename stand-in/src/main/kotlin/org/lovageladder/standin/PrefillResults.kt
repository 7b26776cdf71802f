package org.lovageladder.standin

import kotlin.time.Duration

/** Prefill results that wait to be fetched by a decode engine, each dropped when its keep time is over. */
internal class KeptPrefills(
    private val thread: EventLoopThread,
    private val keepTime: Duration,
    private val link: SharedLink,
    private val bytesPerToken: Long,
) {
    private val kept = HashMap<String, KeptPrefill>()
    private var sequence = 0L

    /** Results dropped without having been fetched whole. */
    var expiredTotal: Long = 0
        private set

    /** Tokens of those results. */
    var expiredTokensTotal: Long = 0
        private set

    /** Keeps a result of [tokens] and returns the name to fetch it by. */
    fun keep(requestId: String, tokens: Int): String {
        val name = "$requestId-${sequence++}"
        kept[name] = KeptPrefill(tokens)
        thread.after(keepTime) { drop(name) }
        return name
    }

    /** Sends the result [name] over the link; answers 410 when it is not kept, or expires on the way. */
    fun fetch(name: String, exchange: HttpExchange) {
        val prefill = kept[name] ?: throw expired(name)
        val bytes = prefill.tokens * bytesPerToken
        lateinit var transfer: LinkTransfer
        transfer =
            link.move(bytes) {
                prefill.transfers.remove(transfer)
                prefill.fetched = true
                exchange.answer(StandInJson.answers.encodeToString(FetchedPrefill.serializer(), FetchedPrefill(bytes)))
            }
        prefill.transfers[transfer] = exchange
        exchange.onClosed = {
            prefill.transfers.remove(transfer)
            link.abort(transfer)
        }
    }

    private fun drop(name: String) {
        val prefill = kept.remove(name) ?: return
        if (!prefill.fetched) {
            expiredTotal++
            expiredTokensTotal += prefill.tokens
        }
        prefill.transfers.forEach { (transfer, exchange) ->
            link.abort(transfer)
            exchange.refuse(expired(name))
        }
    }

    companion object {
        fun expired(name: String): RequestRefused {
            val reason = "prefill result $name is not kept, or not any longer"
            return RequestRefused(RequestRefused.GONE, "kv_expired", reason)
        }
    }
}

private class KeptPrefill(val tokens: Int) {
    val transfers = LinkedHashMap<LinkTransfer, HttpExchange>()
    var fetched = false
}
