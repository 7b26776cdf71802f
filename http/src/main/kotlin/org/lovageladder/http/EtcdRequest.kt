package org.lovageladder.http

import kotlinx.serialization.encodeToString
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A [StoreRequest] as etcd takes it: path, body, and how its answer is read. */
internal class EtcdRequest(
    val path: String,
    val body: String,
    val isRead: Boolean,
    /** Throws [IllegalArgumentException] when the body is not the expected answer. */
    val readAnswer: (String) -> StoreAnswer,
) {
    companion object {
        fun of(request: StoreRequest): EtcdRequest = when (request) {
            is StoreRequest.Create -> create(request)
            is StoreRequest.Replace -> replace(request)
            is StoreRequest.Read -> range(EtcdRange(encodeBytes(request.key)))
            is StoreRequest.ReadAfter -> range(rangeAfter(request))
            is StoreRequest.GrantLease -> grantLease(request.timeToLive)
            is StoreRequest.RenewLease -> renewLease(request.lease)
        }
    }
}

private const val CREATE_TARGET = "CREATE"
private const val MOD_TARGET = "MOD"
private const val EQUAL = "EQUAL"
private const val NEVER_CREATED = "0"
private const val KEY_SUCCESSOR = "\u0000"

private fun create(request: StoreRequest.Create): EtcdRequest = transaction(
    compare = request.writes.map { EtcdCompare(encodeBytes(it.key), CREATE_TARGET, EQUAL, NEVER_CREATED) },
    writes = request.writes,
    lease = request.lease,
)

private fun replace(request: StoreRequest.Replace): EtcdRequest {
    val revision = request.expectedRevision.toString()
    return transaction(
        compare = listOf(EtcdCompare(encodeBytes(request.write.key), MOD_TARGET, EQUAL, modRevision = revision)),
        writes = listOf(request.write),
        lease = null,
    )
}

private fun transaction(compare: List<EtcdCompare>, writes: List<StoreWrite>, lease: Long?): EtcdRequest {
    val puts = writes.map { EtcdPut(encodeBytes(it.key), encodeBytes(it.value), lease?.toString()) }
    val ranges = writes.map { EtcdRange(encodeBytes(it.key)) }
    val body = EtcdTransaction(
        compare = compare,
        success = puts.map { EtcdOperation(put = it) },
        failure = ranges.map { EtcdOperation(range = it) },
    )
    return EtcdRequest("/v3/kv/txn", etcdJson.encodeToString(body), isRead = false) { readTransaction(it) }
}

private fun readTransaction(body: String): StoreAnswer {
    val answer = etcdJson.decodeFromString<EtcdTransactionAnswer>(body)
    if (answer.succeeded) {
        return StoreAnswer.Written(answer.header.revision.toLong())
    }
    val entries = answer.responses.flatMap { it.range?.kvs.orEmpty() }
    return StoreAnswer.Conflict(entries.map { it.toStoredEntry() })
}

private fun rangeAfter(request: StoreRequest.ReadAfter): EtcdRange {
    val first = maxOf(request.prefix, request.after + KEY_SUCCESSOR)
    return EtcdRange(encodeBytes(first), encodedPrefixEnd(request.prefix), request.limit.toString())
}

private fun range(range: EtcdRange): EtcdRequest =
    EtcdRequest("/v3/kv/range", etcdJson.encodeToString(range), isRead = true) { body ->
        val answer = etcdJson.decodeFromString<EtcdRangeAnswer>(body)
        StoreAnswer.Found(answer.kvs.map { it.toStoredEntry() })
    }

private fun grantLease(timeToLive: Duration): EtcdRequest {
    val whole = timeToLive.inWholeSeconds
    val roundedUp = if (whole.seconds < timeToLive) whole + 1 else whole
    val body = EtcdLeaseGrant(roundedUp.coerceAtLeast(1).toString())
    return EtcdRequest("/v3/lease/grant", etcdJson.encodeToString(body), isRead = false) { text ->
        leased(etcdJson.decodeFromString<EtcdLeaseAnswer>(text))
    }
}

private fun renewLease(lease: Long): EtcdRequest {
    val body = etcdJson.encodeToString(EtcdLeaseRenewal(lease.toString()))
    return EtcdRequest("/v3/lease/keepalive", body, isRead = true) { text ->
        leased(etcdJson.decodeFromString<EtcdLeaseRenewalAnswer>(text).result)
    }
}

private fun leased(answer: EtcdLeaseAnswer): StoreAnswer {
    val timeToLive = answer.timeToLiveSeconds.toLong().seconds
    check(timeToLive.toLong(DurationUnit.SECONDS) >= 0) { "the time to live is $timeToLive, allowed is 0 or more" }
    return StoreAnswer.Leased(answer.lease.toLong(), timeToLive)
}
