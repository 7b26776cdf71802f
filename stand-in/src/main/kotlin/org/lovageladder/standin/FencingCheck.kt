package org.lovageladder.standin

/** Refuses orders whose fencing number is lower than the highest seen, unless told to ignore the numbers. */
internal class FencingGate(private val ignoresNumbers: Boolean) {
    private var highest = 0L

    /** Throws [RequestRefused] with status 409 when [number] is outdated. An absent number always passes. */
    fun check(number: Long?) {
        if (number == null || ignoresNumbers) {
            return
        }
        if (number < highest) {
            throw RequestRefused(
                RequestRefused.CONFLICT,
                "outdated_fencing_number",
                "fencing number $number is lower than $highest, the highest seen",
                "fencing",
            )
        }
        highest = number
    }

    companion object {
        const val HEADER: String = "X-Fencing-Number"

        /** The number in the request's header, or null; throws [RequestRefused] when it is no number. */
        fun numberIn(request: HttpRequest): Long? {
            val value = request.header(HEADER) ?: return null
            return value.toLongOrNull()
                ?: throw RequestRefused.badField(HEADER, "header $HEADER is '$value', allowed is a whole number")
        }
    }
}
