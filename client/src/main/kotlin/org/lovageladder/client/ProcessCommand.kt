package org.lovageladder.client

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import org.lovageladder.core.Fault
import org.lovageladder.core.ReleaseState
import org.lovageladder.http.AdminClient
import org.lovageladder.http.openAdminClient

/** Base class of the commands that query processes: those of all hosts in force, or those named by `--process`. */
internal abstract class ProcessCommand(name: String, summary: String) : ClientCommand(name, summary) {
    private val storeOptions by StoreOptions()
    private val processOptions by ProcessOptions()

    /** Selects the processes to query. The release is empty when it cannot be read and `--process` names processes. */
    protected fun selectProcesses(): Result<ProcessSelection, ClientFailure> {
        if (storeOptions.addresses != null) return readRelease().map { createSelection(it) }
        if (processOptions.addresses.isEmpty()) {
            throw UsageError("--store is missing; allowed: IP:PORT,... (or LOVAGELADDER_STORE), or --process IP:PORT")
        }
        return Ok(createSelection(ReleaseState.EMPTY))
    }

    private fun readRelease(): Result<ReleaseState, ClientFailure> {
        val history = withNoteStore(storeOptions) { it.readHistory("cannot read the hosts in force; pass --process") }
        if (processOptions.addresses.isEmpty()) return history.map { it.state }
        val state = history.map { it.state }.getOrElse { failure ->
            echo("continuing without the release: ${failure.message}", err = true)
            ReleaseState.EMPTY
        }
        return Ok(state)
    }

    /** Calls [action] with a client for the admin addresses of processes, and closes the client afterwards. */
    protected fun <T> withAdminClient(action: (AdminClient) -> T): T =
        openAdminClient(processOptions.timeout).use(action)

    /** Queries the status of [targets]. */
    protected fun queryStatuses(targets: List<ProcessTarget>): QueryResult<ProcessStatus> = withAdminClient { client ->
        queryAll(targets) { address -> client.status(address).andThen { parseStatus(address, it) } }
    }

    /** Fails when a process did not answer. Called after the answers of the others have been printed. */
    protected fun requireAllAnswered(unreachable: List<UnreachableProcess>): Result<Unit, ClientFailure> {
        val fault: Fault = unreachable.firstOrNull()?.fault ?: return Ok(Unit)
        val consequence = "no answer from ${unreachable.size} processes, first failure"
        return Err(ClientFailure.ProcessUnreachable(fault, consequence))
    }

    private fun createSelection(release: ReleaseState) =
        ProcessSelection(release, selectTargets(processOptions.addresses, release))
}

/** The processes to query, and the release in force. */
internal data class ProcessSelection(val release: ReleaseState, val targets: List<ProcessTarget>)
