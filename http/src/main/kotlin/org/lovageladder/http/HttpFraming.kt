package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/*
 * How bodies end, and checks of what Netty's decoders read more leniently than HTTP allows. The checks throw
 * [IllegalArgumentException], upon which the decoder reports the message as malformed.
 */

/** Requires that a body has no transfer coding but `chunked`: any other hides where it ends, or changes its bytes. */
internal fun requireKnownTransferCoding(headers: HttpHeaders) {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    require(codings.isEmpty() || codings.singleOrNull()?.trim().equals("chunked", ignoreCase = true)) {
        "Transfer-Encoding is $codings, allowed is chunked"
    }
}

/** Requires that [version] is one of HTTP/1, as clients and servers of it write it. */
internal fun requireHttpOne(version: String) {
    require(HTTP_ONE.matches(version)) { "the version is \"${version.take(LOGGED_CHARACTERS)}\", allowed is HTTP/1" }
}

/** Requires that [status] has three digits and one of the five classes. */
internal fun requireStatus(status: String) {
    require(STATUS.matches(status)) { "the status is \"${status.take(LOGGED_CHARACTERS)}\", allowed are 100 to 599" }
}

/** Whether only the end of its connection ends the body of an answer with [status] and [headers] to [method]. */
internal fun endsWithConnection(method: HttpMethod, status: Int, headers: HttpHeaders): Boolean {
    val hasBody = method != HttpMethod.HEAD && status !in BODILESS_STATUSES
    val isFramed =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    return hasBody && !isFramed
}

private val BODILESS_STATUSES = setOf(204, 304)
private val HTTP_ONE = Regex("HTTP/1\\.[0-9]")
private val STATUS = Regex("[1-5][0-9]{2}")
private const val LOGGED_CHARACTERS = 20
