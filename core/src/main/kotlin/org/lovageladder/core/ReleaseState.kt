package org.lovageladder.core

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** A reason to reject a release note. [field] is a path in the note, such as `added[2].pool`; [line] counts from 1. */
public data class NoteFault(val field: String, val message: String, val line: Int? = null)

/** The release after all notes up to [version] are applied. Immutable. */
public data class ReleaseState(
    val version: ReleaseVersion,
    val hosts: Map<HostName, ReleaseEntry.Host> = emptyMap(),
    val pools: Map<PoolName, ReleaseEntry.Pool> = emptyMap(),
    val upstreams: Map<UpstreamName, ReleaseEntry.Upstream> = emptyMap(),
    val services: Map<ServiceName, ReleaseEntry.Service> = emptyMap(),
    val classes: Map<EntryKey, ReleaseEntry.RequestClass> = emptyMap(),
) {
    /** Upstreams of [pool], sorted by name. */
    public fun upstreamsOf(pool: PoolName): List<ReleaseEntry.Upstream> =
        upstreams.values.filter { it.pool == pool }.sortedBy { it.name.text }

    /** The class [name] of [service], or the default class if [name] is null; null if there is none. */
    public fun requestClass(service: ReleaseEntry.Service, name: ClassName?): ReleaseEntry.RequestClass? =
        classes[EntryKey(EntryKind.CLASS, "${service.name}/${name ?: service.defaultClass}")]

    /** Role of the pool that [upstream] belongs to; null when the pool is unknown. */
    public fun roleOf(upstream: ReleaseEntry.Upstream): PoolRole? = pools[upstream.pool]?.role

    /** Returns the faults of [note] as the next note on this state; empty when it can be applied. */
    public fun check(note: ReleaseNote): List<NoteFault> {
        val faults = entryFaults(note)
        return faults.ifEmpty { referenceFaults(withNote(note, version), note) }
    }

    /** Returns the state after [accepted]; fails when its version is not the next one or [check] finds faults. */
    public fun apply(accepted: AcceptedNote): Result<ReleaseState, List<NoteFault>> {
        if (accepted.version != version.next()) {
            val message = "expected version ${version.next()}, got ${accepted.version}"
            return Err(listOf(NoteFault("version", message)))
        }
        val faults = check(accepted.note)
        return if (faults.isEmpty()) Ok(withNote(accepted.note, accepted.version)) else Err(faults)
    }

    private fun isDefined(key: EntryKey): Boolean = when (key.kind) {
        EntryKind.HOST -> HostName(key.name) in hosts
        EntryKind.POOL -> PoolName(key.name) in pools
        EntryKind.UPSTREAM -> UpstreamName(key.name) in upstreams
        EntryKind.SERVICE -> ServiceName(key.name) in services
        EntryKind.CLASS -> key in classes
    }

    private fun entryFaults(note: ReleaseNote): List<NoteFault> = buildList {
        if (note.id.text.isBlank()) add(NoteFault("id", "must not be empty"))
        val seenKeys = mutableSetOf<EntryKey>()
        note.added.forEachIndexed { index, entry ->
            if (isDefined(entry.key)) add(NoteFault("added[$index].name", "${entry.key.name} already exists"))
            addAll(duplicateFaults(seenKeys, entry.key, "added[$index].name"))
            addAll(valueFaults(entry, "added[$index]"))
        }
        note.changed.forEachIndexed { index, entry ->
            if (!isDefined(entry.key)) add(NoteFault("changed[$index].name", "${entry.key.name} does not exist"))
            addAll(duplicateFaults(seenKeys, entry.key, "changed[$index].name"))
            addAll(valueFaults(entry, "changed[$index]"))
        }
        note.withdrawn.forEachIndexed { index, key ->
            if (!isDefined(key)) add(NoteFault("withdrawn[$index].name", "${key.name} does not exist"))
            addAll(duplicateFaults(seenKeys, key, "withdrawn[$index].name"))
        }
    }

    private fun duplicateFaults(seenKeys: MutableSet<EntryKey>, key: EntryKey, field: String): List<NoteFault> =
        if (seenKeys.add(key)) emptyList() else listOf(NoteFault(field, "${key.name} occurs twice in this note"))

    private fun withNote(note: ReleaseNote, next: ReleaseVersion): ReleaseState {
        val remaining = note.withdrawn.fold(this) { state, key -> state.without(key) }
        return (note.added + note.changed).fold(remaining) { state, entry -> state.with(entry) }.copy(version = next)
    }

    private fun without(key: EntryKey): ReleaseState = when (key.kind) {
        EntryKind.HOST -> copy(hosts = hosts - HostName(key.name))
        EntryKind.POOL -> copy(pools = pools - PoolName(key.name))
        EntryKind.UPSTREAM -> copy(upstreams = upstreams - UpstreamName(key.name))
        EntryKind.SERVICE -> copy(services = services - ServiceName(key.name))
        EntryKind.CLASS -> copy(classes = classes - key)
    }

    private fun with(entry: ReleaseEntry): ReleaseState = when (entry) {
        is ReleaseEntry.Host -> copy(hosts = hosts + (entry.name to entry))
        is ReleaseEntry.Pool -> copy(pools = pools + (entry.name to entry))
        is ReleaseEntry.Upstream -> copy(upstreams = upstreams + (entry.name to entry))
        is ReleaseEntry.Service -> copy(services = services + (entry.name to entry))
        is ReleaseEntry.RequestClass -> copy(classes = classes + (entry.key to entry))
    }

    public companion object {
        /** State before the first note. */
        public val EMPTY: ReleaseState = ReleaseState(ReleaseVersion.NONE)
    }
}
