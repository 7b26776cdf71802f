package org.lovageladder.core

import kotlin.time.Duration

/*
 * Checks of a release note: values within one entry, and references between the entries after the note is applied.
 */

private const val LAST_PORT = 65535
private val NAME_PATTERN = Regex("[a-z0-9]([a-z0-9._-]{0,62})")

internal fun valueFaults(entry: ReleaseEntry, field: String): List<NoteFault> = buildList {
    val ownName = entry.key.name.substringAfterLast('/')
    if (!NAME_PATTERN.matches(ownName)) {
        add(NoteFault("$field.name", "'$ownName' must be 1 to 63 lower-case letters, digits, '.', '_' or '-'"))
    }
    when (entry) {
        is ReleaseEntry.Host -> addAll(hostFaults(entry, field))
        is ReleaseEntry.Pool -> Unit
        is ReleaseEntry.Upstream -> addAll(upstreamFaults(entry, field))
        is ReleaseEntry.Service -> addAll(serviceFaults(entry, field))
        is ReleaseEntry.RequestClass -> addAll(classFaults(entry, field))
    }
}

private fun hostFaults(host: ReleaseEntry.Host, field: String): List<NoteFault> = buildList {
    if (host.role == HostRole.COMPANION && host.peerAddress == null) {
        add(NoteFault("$field.peerAddress", "is required for a companion host"))
    }
    host.peerAddress?.let { addAll(addressFaults(it, "$field.peerAddress")) }
    addAll(addressFaults(host.adminAddress, "$field.adminAddress"))
}

private fun upstreamFaults(upstream: ReleaseEntry.Upstream, field: String): List<NoteFault> = buildList {
    addAll(addressFaults(upstream.address, "$field.address"))
    if (upstream.pieces < 0) add(NoteFault("$field.pieces", "must not be negative, got ${upstream.pieces}"))
    if (upstream.runningLimit < 1) {
        add(NoteFault("$field.runningLimit", "must be at least 1, got ${upstream.runningLimit}"))
    }
    if (upstream.linkBytesPerSecond < 0) add(NoteFault("$field.linkBytesPerSecond", "must not be negative"))
}

private fun serviceFaults(service: ReleaseEntry.Service, field: String): List<NoteFault> = buildList {
    val isGeneration = service.prefillPool != null || service.decodePool != null
    if (isGeneration == (service.plainPool != null)) {
        add(NoteFault("$field.plainPool", "set either plainPool, or prefillPool and decodePool"))
    }
    if (isGeneration && service.prefillPool == null) add(NoteFault("$field.prefillPool", "missing"))
    if (isGeneration && service.decodePool == null) add(NoteFault("$field.decodePool", "missing"))
    if (service.kvBytesPerToken < 0) add(NoteFault("$field.kvBytesPerToken", "must not be negative"))
}

private fun classFaults(requestClass: ReleaseEntry.RequestClass, field: String): List<NoteFault> = buildList {
    if (!(requestClass.worth > 0.0)) add(NoteFault("$field.worth", "must be above 0, got ${requestClass.worth}"))
    if (requestClass.outputBound < 1) add(NoteFault("$field.outputBound", "must be at least 1"))
    if (requestClass.share !in 0.0..1.0) {
        add(NoteFault("$field.share", "must be from 0 to 1, got ${requestClass.share}"))
    }
    when (val target = requestClass.target) {
        is LatencyTarget.Stream -> {
            addAll(durationFaults(target.firstToken, "$field.target.firstToken"))
            addAll(durationFaults(target.tokenGap, "$field.target.tokenGap"))
        }
        is LatencyTarget.Answer -> addAll(durationFaults(target.within, "$field.target.within"))
    }
}

private fun durationFaults(duration: Duration, field: String): List<NoteFault> =
    if (duration > Duration.ZERO) emptyList() else listOf(NoteFault(field, "must be above 0, got $duration"))

private fun addressFaults(address: Address, field: String): List<NoteFault> = buildList {
    if (address.ip.isBlank()) add(NoteFault("$field.ip", "must not be empty"))
    if (address.port !in 1..LAST_PORT) add(NoteFault("$field.port", "must be 1 to $LAST_PORT, got ${address.port}"))
}

/** Returns faults of references between the entries of [state], with the field of the referring entry in [note]. */
internal fun referenceFaults(state: ReleaseState, note: ReleaseNote): List<NoteFault> {
    val fields = fieldsByKey(note)
    return buildList {
        state.upstreams.values.forEach { addAll(upstreamReferences(state, it, fields.fieldOf(it.key))) }
        state.services.values.forEach { addAll(serviceReferences(state, it, fields.fieldOf(it.key))) }
        state.classes.values.forEach { addAll(classReferences(state, it, fields.fieldOf(it.key))) }
    }
}

private class NoteFields(private val byKey: Map<EntryKey, String>) {
    fun fieldOf(key: EntryKey): String = byKey[key] ?: "withdrawn"
}

private fun fieldsByKey(note: ReleaseNote): NoteFields {
    val added = note.added.mapIndexed { index, entry -> entry.key to "added[$index]" }
    val changed = note.changed.mapIndexed { index, entry -> entry.key to "changed[$index]" }
    return NoteFields((added + changed).toMap())
}

private fun upstreamReferences(state: ReleaseState, upstream: ReleaseEntry.Upstream, field: String): List<NoteFault> =
    buildList {
        val host = state.hosts[upstream.host]
        if (host == null) add(NoteFault("$field.host", "upstream ${upstream.name}: no host ${upstream.host}"))
        if (host != null && host.role != HostRole.COMPANION) {
            add(NoteFault("$field.host", "upstream ${upstream.name}: host ${host.name} is not a companion host"))
        }
        val role = state.roleOf(upstream)
        if (role == null) add(NoteFault("$field.pool", "upstream ${upstream.name}: no pool ${upstream.pool}"))
        if (role == PoolRole.DECODE && upstream.pieces == 0) {
            add(NoteFault("$field.pieces", "upstream ${upstream.name}: must be at least 1 for a decode upstream"))
        }
    }

private fun serviceReferences(state: ReleaseState, service: ReleaseEntry.Service, field: String): List<NoteFault> =
    buildList {
        fun checkPoolRole(pool: PoolName?, role: PoolRole, name: String) {
            if (pool != null && state.pools[pool]?.role != role) {
                add(NoteFault("$field.$name", "service ${service.name}: $pool is not a ${role.name.lowercase()} pool"))
            }
        }
        checkPoolRole(service.prefillPool, PoolRole.PREFILL, "prefillPool")
        checkPoolRole(service.decodePool, PoolRole.DECODE, "decodePool")
        checkPoolRole(service.plainPool, PoolRole.PLAIN, "plainPool")
        if (state.requestClass(service, null) == null) {
            add(NoteFault("$field.defaultClass", "service ${service.name}: no class ${service.defaultClass}"))
        }
    }

private fun classReferences(
    state: ReleaseState,
    requestClass: ReleaseEntry.RequestClass,
    field: String,
): List<NoteFault> = buildList {
    val service = state.services[requestClass.service]
    if (service == null) {
        add(NoteFault("$field.service", "class ${requestClass.name}: no service ${requestClass.service}"))
    } else if ((service.plainPool == null) != (requestClass.target is LatencyTarget.Stream)) {
        val expected = if (service.plainPool == null) "a stream target" else "an answer target"
        add(NoteFault("$field.target", "class ${requestClass.name}: service ${service.name} needs $expected"))
    }
    if (service?.plainPool == null && !requestClass.idempotent) {
        add(NoteFault("$field.idempotent", "class ${requestClass.name}: a generation is always idempotent"))
    }
}
