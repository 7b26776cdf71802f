package org.lovageladder.daemon

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.lovageladder.core.ProcessName

/** Encodes [status] as a JSON object to which the [role] and name of the [process] are added. */
internal fun <T> statusText(role: String, process: ProcessName, serializer: KSerializer<T>, status: T): String {
    val identity = mapOf("role" to JsonPrimitive(role), "process" to JsonPrimitive(process.text))
    return JsonObject(identity + Json.encodeToJsonElement(serializer, status).jsonObject).toString()
}
