package org.lovageladder.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.lovageladder.core.Address
import org.lovageladder.core.CompanionStatus
import org.lovageladder.core.EntryStatus
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.Step

/** What one process says of itself. */
@Serializable
internal sealed interface ProcessStatus {
    val process: ProcessName
    val release: ReleaseVersion

    @Serializable
    @SerialName("entry")
    data class OfEntry(override val process: ProcessName, val status: EntryStatus) : ProcessStatus {
        override val release: ReleaseVersion get() = status.release
    }

    @Serializable
    @SerialName("companion")
    data class OfCompanion(override val process: ProcessName, val status: CompanionStatus) : ProcessStatus {
        override val release: ReleaseVersion get() = status.release
    }
}

private val statusJson = Json { ignoreUnknownKeys = true }

/** Reads the status of the process at [address], whose members `role` and `process` stand beside those of the role. */
internal fun readStatus(address: Address, text: String): Result<ProcessStatus, Fault> = try {
    val element = statusJson.parseToJsonElement(text)
    val process = ProcessName(member(element, "process"))
    when (val role = member(element, "role")) {
        "entry" -> Ok(ProcessStatus.OfEntry(process, decode(EntryStatus.serializer(), element)))
        "companion" -> Ok(ProcessStatus.OfCompanion(process, decode(CompanionStatus.serializer(), element)))
        else -> Err(unreadable(address, "role is '$role'; allowed: entry, companion"))
    }
} catch (failure: SerializationException) {
    Err(unreadable(address, failure.message.orEmpty().lineSequence().first()))
}

private fun <T> decode(serializer: KSerializer<T>, element: JsonElement): T =
    statusJson.decodeFromJsonElement(serializer, element)

private fun member(element: JsonElement, name: String): String {
    val value = (element as? JsonObject)?.get(name) as? JsonPrimitive
    return value?.content ?: throw SerializationException("member $name is missing")
}

private fun unreadable(address: Address, detail: String) =
    Fault(Step.CONNECT, address.toString(), FaultCause.PROTOCOL, "its status cannot be read: $detail")
