package org.lovageladder.http

/** A fault of the caller's request that is found before it is submitted. */
internal data class InputFault(val status: Int, val name: String, val detail: String, val field: String? = null)

/** Ends the reading of a request. */
internal class InputRejected(val fault: InputFault, cause: Throwable? = null) : Exception(fault.detail, cause)

internal fun badField(field: String, detail: String, cause: Throwable? = null): InputRejected =
    InputRejected(InputFault(STATUS_BAD_REQUEST, "invalid-request", detail, field), cause)
