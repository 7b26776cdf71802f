package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.forward.HeaderField

/** Headers that concern one connection only, and those that frame a body. They are not passed on. */
private val CONNECTION_FIELDS = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** Headers of [headers] to pass on: all but those of the connection and those that `Connection` names. */
internal fun passedOn(headers: HttpHeaders): List<HeaderField> {
    val named = headers.getAll(HttpHeaderNames.CONNECTION).flatMap {
        it.split(',')
    }.mapTo(HashSet()) { it.trim().lowercase() }
    return headers
        .filterNot { it.key.lowercase() in CONNECTION_FIELDS || it.key.lowercase() in named }
        .map { HeaderField(it.key, it.value) }
}
