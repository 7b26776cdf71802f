package org.lovageladder.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import kotlin.time.Duration

/*
 * Checks a JSON value against the serial descriptor that it will be decoded with. Decoding stops at the first error
 * and does not always name the field; these checks report every error with its path.
 */

/** Member that names the subclass of a sealed type. */
private const val TYPE_MEMBER = "type"

/** Number of characters after which a value quoted in a message is cut. */
private const val QUOTED_CHARACTERS = 60

/** Returns the faults of [element] at [path] as a value of [descriptor]; empty when it can be decoded. */
@OptIn(ExperimentalSerializationApi::class)
internal fun checkJsonShape(element: JsonElement, descriptor: SerialDescriptor, path: String = ""): List<NoteFault> {
    if (element is JsonNull) return checkNull(descriptor, path)
    if (descriptor.isInline) return checkJsonShape(element, descriptor.getElementDescriptor(0), path)
    return when (descriptor.kind) {
        StructureKind.CLASS, StructureKind.OBJECT -> checkObject(element, descriptor, path)
        StructureKind.LIST -> checkList(element, descriptor, path)
        PolymorphicKind.SEALED -> checkSealed(element, descriptor, path)
        SerialKind.ENUM -> checkEnum(element, descriptor, path)
        else -> checkPrimitive(element, descriptor, path)
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun checkNull(descriptor: SerialDescriptor, path: String): List<NoteFault> =
    if (descriptor.isNullable) emptyList() else listOf(NoteFault(path, "is null, but a value is required"))

private fun checkList(element: JsonElement, descriptor: SerialDescriptor, path: String): List<NoteFault> {
    if (element !is JsonArray) return listOf(wrongType(path, "a list", element))
    val elementDescriptor = descriptor.elementDescriptors.first()
    return element.flatMapIndexed { index, item -> checkJsonShape(item, elementDescriptor, elementPath(path, index)) }
}

@OptIn(ExperimentalSerializationApi::class)
private fun checkSealed(element: JsonElement, descriptor: SerialDescriptor, path: String): List<NoteFault> {
    if (element !is JsonObject) return listOf(wrongType(path, "an object", element))
    val subclasses = descriptor.getElementDescriptor(1)
    val allowed = subclasses.elementNames.joinToString()
    val typePath = memberPath(path, TYPE_MEMBER)
    val type = element[TYPE_MEMBER] ?: return listOf(NoteFault(typePath, "is missing; allowed: $allowed"))
    val index = subclasses.elementNames.indexOf((type as? JsonPrimitive)?.content)
    if (index < 0) return listOf(NoteFault(typePath, "is ${quote(type)}; allowed: $allowed"))
    return checkObject(JsonObject(element - TYPE_MEMBER), subclasses.getElementDescriptor(index), path)
}

@OptIn(ExperimentalSerializationApi::class)
private fun checkObject(element: JsonElement, descriptor: SerialDescriptor, path: String): List<NoteFault> {
    if (element !is JsonObject) return listOf(wrongType(path, "an object", element))
    val names = descriptor.elementNames.toList()
    val unknown = (element.keys - names.toSet()).map { member ->
        NoteFault(memberPath(path, member), "is not a known field; allowed: ${names.joinToString()}")
    }
    val members = names.flatMapIndexed { index, name ->
        val memberPath = memberPath(path, name)
        val member = element[name]
        when {
            member != null -> checkJsonShape(member, descriptor.getElementDescriptor(index), memberPath)
            descriptor.isElementOptional(index) -> emptyList()
            else -> listOf(NoteFault(memberPath, "is missing"))
        }
    }
    return unknown + members
}

@OptIn(ExperimentalSerializationApi::class)
private fun checkEnum(element: JsonElement, descriptor: SerialDescriptor, path: String): List<NoteFault> {
    val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
    if (text in descriptor.elementNames) return emptyList()
    return listOf(NoteFault(path, "is ${quote(element)}; allowed: ${descriptor.elementNames.joinToString()}"))
}

private fun checkPrimitive(element: JsonElement, descriptor: SerialDescriptor, path: String): List<NoteFault> {
    val primitive = element as? JsonPrimitive
    val expected = when (descriptor.kind) {
        PrimitiveKind.STRING -> checkText(primitive, descriptor)
        PrimitiveKind.BOOLEAN -> "true or false".takeIf { primitive.unquoted()?.booleanOrNull == null }
        PrimitiveKind.INT -> "a whole number of 32 bits".takeIf { primitive.unquoted()?.intOrNull == null }
        PrimitiveKind.LONG -> "a whole number of 64 bits".takeIf { primitive.unquoted()?.longOrNull == null }
        PrimitiveKind.DOUBLE -> "a number".takeIf { primitive.unquoted()?.doubleOrNull?.isFinite() != true }
        else -> null
    }
    return if (expected == null) emptyList() else listOf(wrongType(path, expected, element))
}

/** Returns a description of the expected text if [primitive] is not one, and null if it is. */
private fun checkText(primitive: JsonPrimitive?, descriptor: SerialDescriptor): String? {
    val text = primitive?.takeIf { it.isString }?.content
    if (descriptor.serialName != Duration.serializer().descriptor.serialName) return "a text".takeIf { text == null }
    val duration = text?.let { Duration.parseIsoStringOrNull(it) }
    return "a duration in ISO 8601 form, such as PT0.5S".takeIf { duration == null }
}

private fun JsonPrimitive?.unquoted(): JsonPrimitive? = this?.takeUnless { it.isString }

private fun wrongType(path: String, expected: String, element: JsonElement): NoteFault =
    NoteFault(path, "is ${quote(element)}; expected $expected")

private fun quote(element: JsonElement): String {
    val text = element.toString()
    return if (text.length <= QUOTED_CHARACTERS) text else text.take(QUOTED_CHARACTERS) + "..."
}
