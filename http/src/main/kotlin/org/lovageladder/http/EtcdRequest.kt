package org.lovageladder.http

import kotlinx.serialization.encodeToString
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A [StoreRequest] as an etcd call, with the parser of its answer. */
internal class EtcdRequest(
    val path: String,
    val body: String,
    val isSafeToRetry: Boolean,
    /** Parses the body of the answer; throws [IllegalArgumentException] when it has another form. */
    val readAnswer: (String) -> StoreAnswer,
) {
    companion object {
        fun of(request: StoreRequest): EtcdRequest = when (request) {
            is StoreRequest.Create -> create(request)
            is StoreRequest.Replace -> replace(request)
            is StoreRequest.Read -> range(EtcdRange(encodeBase64(request.key)))
            is StoreRequest.ReadAfter -> range(rangeAfter(request))
            is StoreRequest.GrantLease -> grantLease(request.timeToLive)
            is StoreRequest.RenewLease -> renewLease(request.lease)
        }
    }
}

private const val CREATE_TARGET = "CREATE"
private const val MOD_TARGET = "MOD"
private const val EQUAL = "EQUAL"
private const val ABSENT_REVISION = "0"
private const val KEY_SUCCESSOR = "\u0000"

private fun create(request: StoreRequest.Create): EtcdRequest = transaction(
    compare = request.writes.map { EtcdCompare(encodeBase64(it.key), CREATE_TARGET, EQUAL, ABSENT_REVISION) },
    writes = request.writes,
    lease = request.lease,
)

private fun replace(request: StoreRequest.Replace): EtcdRequest {
    val revision = request.expectedRevision.toString()
    return transaction(
        compare = listOf(EtcdCompare(encodeBase64(request.write.key), MOD_TARGET, EQUAL, modRevision = revision)),
        writes = listOf(request.write),
        lease = null,
    )
}

private fun transaction(compare: List<EtcdCompare>, writes: List<StoreWrite>, lease: Long?): EtcdRequest {
    val puts = writes.map { EtcdPut(encodeBase64(it.key), encodeBase64(it.value), lease?.toString()) }
    val ranges = writes.map { EtcdRange(encodeBase64(it.key)) }
    val body = EtcdTransaction(
        compare = compare,
        success = puts.map { EtcdOperation(put = it) },
        failure = ranges.map { EtcdOperation(range = it) },
    )
    return EtcdRequest("/v3/kv/txn", etcdJson.encodeToString(body), isSafeToRetry = false) { readTransaction(it) }
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
    return EtcdRange(encodeBase64(first), encodedPrefixEnd(request.prefix), request.limit.toString())
}

private fun range(range: EtcdRange): EtcdRequest =
    EtcdRequest("/v3/kv/range", etcdJson.encodeToString(range), isSafeToRetry = true) { body ->
        val answer = etcdJson.decodeFromString<EtcdRangeAnswer>(body)
        StoreAnswer.Found(answer.kvs.map { it.toStoredEntry() })
    }

private fun grantLease(timeToLive: Duration): EtcdRequest {
    val wholeSeconds = timeToLive.inWholeSeconds
    val roundedUp = if (wholeSeconds.seconds < timeToLive) wholeSeconds + 1 else wholeSeconds
    val body = EtcdLeaseGrant(roundedUp.coerceAtLeast(1).toString())
    return EtcdRequest("/v3/lease/grant", etcdJson.encodeToString(body), isSafeToRetry = false) { text ->
        leaseAnswer(etcdJson.decodeFromString<EtcdLeaseAnswer>(text))
    }
}

private fun renewLease(lease: Long): EtcdRequest {
    val body = etcdJson.encodeToString(EtcdLeaseRenewal(lease.toString()))
    return EtcdRequest("/v3/lease/keepalive", body, isSafeToRetry = true) { text ->
        leaseAnswer(etcdJson.decodeFromString<EtcdLeaseRenewalAnswer>(text).result)
    }
}

private fun leaseAnswer(answer: EtcdLeaseAnswer): StoreAnswer {
    val timeToLive = answer.timeToLiveSeconds.toLong().seconds
    check(timeToLive.toLong(DurationUnit.SECONDS) >= 0) { "the time to live is $timeToLive, allowed is 0 or more" }
    return StoreAnswer.Leased(answer.lease.toLong(), timeToLive)
}
