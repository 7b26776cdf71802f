package org.lovageladder.http

/*
 * Checks of what Netty's decoders read more leniently than HTTP allows. They throw [IllegalArgumentException], upon
 * which the decoder reports the message as malformed.
 */

/** Requires that [version] is one of HTTP/1, as clients and servers of it write it. */
internal fun requireHttpOne(version: String) {
    require(HTTP_ONE.matches(version)) { "the version is \"${version.take(LOGGED_CHARACTERS)}\", allowed is HTTP/1" }
}

/** Requires that [status] has three digits and one of the five classes. */
internal fun requireStatus(status: String) {
    require(STATUS.matches(status)) { "the status is \"${status.take(LOGGED_CHARACTERS)}\", allowed are 100 to 599" }
}

private val HTTP_ONE = Regex("HTTP/1\\.[0-9]")
private val STATUS = Regex("[1-5][0-9]{2}")
private const val LOGGED_CHARACTERS = 20
