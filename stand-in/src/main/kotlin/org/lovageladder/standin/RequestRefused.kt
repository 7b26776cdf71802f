package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Refuses a request with the HTTP [status] and an error body that contains [type], [message] and [field]. */
internal class RequestRefused(
    val status: Int,
    val type: String,
    override val message: String,
    val field: String? = null,
) : Exception(message, null, false, false) {
    /** The error body, in the format of the OpenAI API. */
    fun body(): String = StandInJson.lenient.encodeToString(ErrorBody(ErrorDetail(message, type, field, status)))

    companion object {
        const val BAD_REQUEST: Int = 400
        const val NOT_FOUND: Int = 404
        const val METHOD_NOT_ALLOWED: Int = 405
        const val CONFLICT: Int = 409
        const val GONE: Int = 410
        const val UNAVAILABLE: Int = 503

        fun invalidField(field: String, message: String): RequestRefused =
            RequestRefused(BAD_REQUEST, "invalid_request_error", message, field)

        fun unknownPath(request: HttpRequest): RequestRefused =
            RequestRefused(NOT_FOUND, "not_found", "${request.method} ${request.path} does not exist")
    }
}

@Serializable
private data class ErrorBody(val error: ErrorDetail)

@Serializable
private data class ErrorDetail(
    val message: String,
    val type: String,
    @SerialName("param") val field: String?,
    val code: Int,
)
