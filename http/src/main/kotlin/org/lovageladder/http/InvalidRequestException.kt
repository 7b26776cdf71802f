package org.lovageladder.http

/** Error in a caller's request, found before it is submitted. [typeName] ends the URN of the problem type. */
internal data class RequestError(val status: Int, val typeName: String, val detail: String, val field: String? = null)

/** Thrown when a request cannot be accepted as it is. */
internal class InvalidRequestException(val error: RequestError, cause: Throwable? = null) :
    Exception(error.detail, cause)

internal fun invalidField(field: String, detail: String, cause: Throwable? = null): InvalidRequestException =
    InvalidRequestException(RequestError(STATUS_BAD_REQUEST, "invalid-request", detail, field), cause)
