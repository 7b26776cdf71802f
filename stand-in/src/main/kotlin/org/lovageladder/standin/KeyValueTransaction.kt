package org.lovageladder.standin

/** Evaluates the comparisons of [request] and runs its success or failure operations as one revision. */
internal fun KeyValueStore.runTransaction(request: TxnRequest): TxnResponse {
    val succeeded = request.compare.all { isSatisfied(it, get(it.key)) }
    val operations = if (succeeded) request.success else request.failure
    rejectDuplicateKeys(operations)
    val responses = commit { operations.map { runOperation(it) } }
    return TxnResponse(header(), succeeded, responses)
}

private fun KeyValueStore.PendingRevision.runOperation(operation: RequestOperation): ResponseOperation = when {
    operation.put != null -> ResponseOperation(put = put(operation.put))
    operation.range != null -> ResponseOperation(range = range(operation.range))
    operation.deleteRange != null -> ResponseOperation(deleteRange = deleteRange(operation.deleteRange))
    else -> throw KeyValueRefused.invalid("etcdserver: key is not provided")
}

private fun rejectDuplicateKeys(operations: List<RequestOperation>) {
    val keys = operations.mapNotNull { it.put?.key }
    if (keys.toSet().size != keys.size) {
        throw KeyValueRefused.invalid("etcdserver: duplicate key given in txn request")
    }
}

private fun isSatisfied(compare: Compare, current: KeyValue?): Boolean {
    if (compare.target == CompareTarget.VALUE && current == null) {
        return false
    }
    val order = compareToTarget(compare, current ?: KeyValue())
    return when (compare.result) {
        CompareResult.EQUAL -> order == 0
        CompareResult.GREATER -> order > 0
        CompareResult.LESS -> order < 0
        CompareResult.NOT_EQUAL -> order != 0
    }
}

private fun compareToTarget(compare: Compare, current: KeyValue): Int = when (compare.target) {
    CompareTarget.VERSION -> current.version.compareTo(compare.version)
    CompareTarget.CREATE -> current.createRevision.compareTo(compare.createRevision)
    CompareTarget.MOD -> current.modRevision.compareTo(compare.modRevision)
    CompareTarget.VALUE -> current.value.compareTo(compare.value)
    CompareTarget.LEASE -> current.lease.compareTo(compare.lease)
}
