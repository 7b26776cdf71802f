package org.lovageladder.standin

/** Refuses orders whose fencing number is lower than the highest seen, unless [ignoreNumbers] is set. */
internal class FencingCheck(private val ignoreNumbers: Boolean) {
    private var highestSeen = 0L

    /** Throws [RequestRefused] with status 409 when [number] is outdated. An absent number is always accepted. */
    fun check(number: Long?) {
        if (number == null || ignoreNumbers) {
            return
        }
        if (number < highestSeen) {
            throw RequestRefused(
                RequestRefused.CONFLICT,
                "outdated_fencing_number",
                "fencing number $number is lower than $highestSeen, the highest seen",
                "fencing",
            )
        }
        highestSeen = number
    }

    companion object {
        const val HEADER: String = "X-Fencing-Number"

        /** The number in the request's header, or null; throws [RequestRefused] when it is not a whole number. */
        fun parseHeader(request: HttpRequest): Long? {
            val value = request.header(HEADER) ?: return null
            return value.toLongOrNull()
                ?: throw RequestRefused.invalidField(HEADER, "header $HEADER is '$value', allowed is a whole number")
        }
    }
}
