package org.lovageladder.core.forward

import java.security.MessageDigest
import java.util.HexFormat
import java.util.zip.CRC32

/**
 * Something that requests can have in common and that may make each of them crash its upstream: a part of their prompt,
 * or all that they ask for.
 */
@JvmInline
public value class RequestTrait(public val text: String) {
    /** Whether this is the digest of a whole request, as opposed to a part of a prompt. */
    internal val isDigest: Boolean get() = text.startsWith(DIGEST_PREFIX)

    override fun toString(): String = text
}

/**
 * Digest of what [request] asks for, equal for requests with the same method, host, path, credentials, key and body. Of
 * a long body it has the beginning, the length and a checksum.
 */
internal fun digestOf(request: ForwardRequest): RequestTrait {
    val body = request.body
    val checksum = CRC32().apply { update(body) }.value
    val credentials = request.headers.filter { it.name.equals(CREDENTIALS_HEADER, ignoreCase = true) }.map { it.value }
    val head = listOf(request.method, request.host, request.target, "${body.size}", "$checksum") + credentials +
        listOfNotNull(request.key?.let { "key ${it.secret}" })
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(head.joinToString("\n").encodeToByteArray())
    digest.update(body, 0, minOf(body.size, DIGESTED_BODY_BYTES))
    return RequestTrait(DIGEST_PREFIX + HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES))
}

/** No part of a prompt has a colon in its identifier. */
private const val DIGEST_PREFIX = "request:"
private const val CREDENTIALS_HEADER = "Authorization"
private const val DIGEST_BYTES = 16

/** A digest of some megabytes would hold up the control thread. */
private const val DIGESTED_BODY_BYTES = 64 * 1024
