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

/** Status that a process reports, by its role. */
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

/** Parses the status of the process at [address]: one object with `role`, `process` and the members of that role. */
internal fun parseStatus(address: Address, text: String): Result<ProcessStatus, Fault> = try {
    val element = statusJson.parseToJsonElement(text)
    val process = ProcessName(textMember(element, "process"))
    when (val role = textMember(element, "role")) {
        "entry" -> Ok(ProcessStatus.OfEntry(process, decodeStatus(EntryStatus.serializer(), element)))
        "companion" -> Ok(ProcessStatus.OfCompanion(process, decodeStatus(CompanionStatus.serializer(), element)))
        else -> Err(unreadableStatusFault(address, "role is '$role'; allowed: entry, companion"))
    }
} catch (failure: SerializationException) {
    Err(unreadableStatusFault(address, failure.message.orEmpty().lineSequence().first()))
}

private fun <T> decodeStatus(serializer: KSerializer<T>, element: JsonElement): T =
    statusJson.decodeFromJsonElement(serializer, element)

private fun textMember(element: JsonElement, name: String): String {
    val value = (element as? JsonObject)?.get(name) as? JsonPrimitive
    return value?.content ?: throw SerializationException("member $name is missing")
}

private fun unreadableStatusFault(address: Address, detail: String) =
    Fault(Step.CONNECT, address.toString(), FaultCause.PROTOCOL, "its status cannot be read: $detail")
