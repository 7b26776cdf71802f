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

/** A command that asks processes of the system, found from the release in force or named by address. */
internal abstract class ProcessCommand(name: String, summary: String) : ClientCommand(name, summary) {
    private val storeOptions by StoreOptions()
    private val processOptions by ProcessOptions()

    /** Processes to ask, and what is in force; the release is empty when it cannot be read and processes are named. */
    protected fun findSystem(): Result<FoundSystem, ClientFailure> {
        if (storeOptions.addresses != null) return readRelease().map { foundSystem(it) }
        if (processOptions.addresses.isEmpty()) {
            throw UsageError("--store is missing; allowed: IP:PORT,... (or LOVAGELADDER_STORE), or --process IP:PORT")
        }
        return Ok(foundSystem(ReleaseState.EMPTY))
    }

    private fun readRelease(): Result<ReleaseState, ClientFailure> {
        val history = withNotes(storeOptions) { it.readHistory("the hosts in force cannot be read; name --process") }
        if (processOptions.addresses.isEmpty()) return history.map { it.state }
        val state = history.map { it.state }.getOrElse { failure ->
            echo("without the release: ${failure.message}", err = true)
            ReleaseState.EMPTY
        }
        return Ok(state)
    }

    /** Calls [use] with a client for the admin addresses of processes and closes it. */
    protected fun <T> withAdmin(use: (AdminClient) -> T): T = openAdminClient(processOptions.timeout).use(use)

    /** Asks [targets] for their status. */
    protected fun askStatuses(targets: List<Target>): Answers<ProcessStatus> = withAdmin { client ->
        askAll(targets) { address -> client.status(address).andThen { readStatus(address, it) } }
    }

    /** Fails when some of the processes did not answer; what the others said is printed by then. */
    protected fun requireAll(unanswered: List<Unanswered>): Result<Unit, ClientFailure> {
        val fault: Fault = unanswered.firstOrNull()?.fault ?: return Ok(Unit)
        val consequence = "no answer from ${unanswered.size} of the processes, the first"
        return Err(ClientFailure.ProcessUnreachable(fault, consequence))
    }

    private fun foundSystem(release: ReleaseState) = FoundSystem(release, targets(processOptions.addresses, release))
}

/** The release in force and the processes to ask. */
internal data class FoundSystem(val release: ReleaseState, val targets: List<Target>)
