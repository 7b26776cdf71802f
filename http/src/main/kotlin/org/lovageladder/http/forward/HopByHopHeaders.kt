package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.forward.HeaderField

/** Headers that apply to one connection only and headers that frame a body. They are not forwarded. */
private val HOP_BY_HOP_HEADERS = setOf(
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

/** Returns the headers to forward: all but the hop-by-hop headers and those that the `Connection` header names. */
internal fun endToEndFields(headers: HttpHeaders): List<HeaderField> {
    val named = headers.getAll(HttpHeaderNames.CONNECTION).flatMap {
        it.split(',')
    }.mapTo(HashSet()) { it.trim().lowercase() }
    return headers
        .filterNot { it.key.lowercase() in HOP_BY_HOP_HEADERS || it.key.lowercase() in named }
        .map { HeaderField(it.key, it.value) }
}
