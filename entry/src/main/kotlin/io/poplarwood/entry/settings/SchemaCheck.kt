package io.poplarwood.entry.settings

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Compares a JSON value with the schema of a serializable type and finds all differences, not only the first. */
internal object SchemaCheck {
    fun faults(element: JsonElement, schema: SerialDescriptor, path: String = "$"): List<SettingsFault> = when {
        schema.isInline -> faults(element, schema.getElementDescriptor(0), path)
        element is JsonNull -> if (schema.isNullable) emptyList() else listOf(mismatch(path, element, typeName(schema)))
        schema.kind == StructureKind.CLASS -> objectFaults(element, schema, path)
        schema.kind == StructureKind.LIST -> listFaults(element, schema, path)
        else -> if (matches(element, schema)) emptyList() else listOf(mismatch(path, element, typeName(schema)))
    }

    /** Description of a value for a fault: truncated, on one line. */
    fun describe(element: JsonElement): String = when (element) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        else ->
            element.toString().replace('\n', ' ').let { if (it.length > MAX_CHARS) it.take(MAX_CHARS) + "…" else it }
    }

    private fun objectFaults(element: JsonElement, schema: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonObject) return listOf(mismatch(path, element, "an object"))
        val names = List(schema.elementsCount, schema::getElementName)
        val unknown = (element.keys - names.toSet()).map {
            SettingsFault("$path.$it", "an unknown key", "one of ${names.joinToString()}")
        }
        val missing = names.indices.filter { !schema.isElementOptional(it) && names[it] !in element }.map {
            SettingsFault("$path.${names[it]}", "nothing", typeName(schema.getElementDescriptor(it)))
        }
        val inner = names.indices.flatMap { i ->
            element[names[i]]?.let { faults(it, schema.getElementDescriptor(i), "$path.${names[i]}") }.orEmpty()
        }
        return unknown + missing + inner
    }

    private fun listFaults(element: JsonElement, schema: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonArray) return listOf(mismatch(path, element, "a list"))
        return element.flatMapIndexed { i, item -> faults(item, schema.getElementDescriptor(0), "$path[$i]") }
    }

    private fun matches(element: JsonElement, schema: SerialDescriptor): Boolean {
        if (element !is JsonPrimitive) return false
        return when (schema.kind) {
            PrimitiveKind.STRING -> element.isString
            SerialKind.ENUM -> element.isString && element.content in elementNames(schema)
            PrimitiveKind.BOOLEAN -> !element.isString && element.booleanOrNull != null
            PrimitiveKind.DOUBLE -> !element.isString && element.doubleOrNull?.isFinite() == true
            PrimitiveKind.INT -> !element.isString && element.longOrNull?.let { it.toInt().toLong() == it } == true
            else -> !element.isString && element.longOrNull != null
        }
    }

    private fun mismatch(path: String, element: JsonElement, allowed: String) = SettingsFault(
        path,
        describe(element),
        allowed,
    )

    private fun elementNames(schema: SerialDescriptor) = List(schema.elementsCount, schema::getElementName)

    private fun typeName(schema: SerialDescriptor): String = when (schema.kind) {
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.DOUBLE -> "a number"
        PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
        SerialKind.ENUM -> "one of ${elementNames(schema).joinToString()}"
        StructureKind.LIST -> "a list"
        else -> if (schema.isInline) typeName(schema.getElementDescriptor(0)) else "an object"
    }

    private const val MAX_CHARS = 60
}
