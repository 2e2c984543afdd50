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

/** Compares a JSON value with the shape of a serializable type and finds all differences, not only the first. */
internal object SchemaCheck {
    fun faults(element: JsonElement, shape: SerialDescriptor, path: String = "$"): List<SettingsFault> = when {
        shape.isInline -> faults(element, shape.getElementDescriptor(0), path)
        element is JsonNull -> if (shape.isNullable) emptyList() else listOf(wrong(path, element, name(shape)))
        shape.kind == StructureKind.CLASS -> objectFaults(element, shape, path)
        shape.kind == StructureKind.LIST -> listFaults(element, shape, path)
        else -> if (fits(element, shape)) emptyList() else listOf(wrong(path, element, name(shape)))
    }

    /** How a value is shown in a fault: cut, on one line. */
    fun shown(element: JsonElement): String = when (element) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        else -> element.toString().replace('\n', ' ').let { if (it.length > SHOWN) it.take(SHOWN) + "…" else it }
    }

    private fun objectFaults(element: JsonElement, shape: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonObject) return listOf(wrong(path, element, "an object"))
        val names = List(shape.elementsCount, shape::getElementName)
        val unknown = (element.keys - names.toSet()).map {
            SettingsFault("$path.$it", "an unknown key", "one of ${names.joinToString()}")
        }
        val missing = names.indices.filter { !shape.isElementOptional(it) && names[it] !in element }.map {
            SettingsFault("$path.${names[it]}", "nothing", name(shape.getElementDescriptor(it)))
        }
        val inner = names.indices.flatMap { i ->
            element[names[i]]?.let { faults(it, shape.getElementDescriptor(i), "$path.${names[i]}") }.orEmpty()
        }
        return unknown + missing + inner
    }

    private fun listFaults(element: JsonElement, shape: SerialDescriptor, path: String): List<SettingsFault> {
        if (element !is JsonArray) return listOf(wrong(path, element, "a list"))
        return element.flatMapIndexed { i, item -> faults(item, shape.getElementDescriptor(0), "$path[$i]") }
    }

    private fun fits(element: JsonElement, shape: SerialDescriptor): Boolean {
        if (element !is JsonPrimitive) return false
        return when (shape.kind) {
            PrimitiveKind.STRING -> element.isString
            SerialKind.ENUM -> element.isString && element.content in names(shape)
            PrimitiveKind.BOOLEAN -> !element.isString && element.booleanOrNull != null
            PrimitiveKind.DOUBLE -> !element.isString && element.doubleOrNull?.isFinite() == true
            PrimitiveKind.INT -> !element.isString && element.longOrNull?.let { it.toInt().toLong() == it } == true
            else -> !element.isString && element.longOrNull != null
        }
    }

    private fun wrong(path: String, element: JsonElement, allowed: String) = SettingsFault(
        path,
        shown(element),
        allowed,
    )

    private fun names(shape: SerialDescriptor) = List(shape.elementsCount, shape::getElementName)

    private fun name(shape: SerialDescriptor): String = when (shape.kind) {
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.DOUBLE -> "a number"
        PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
        SerialKind.ENUM -> "one of ${names(shape).joinToString()}"
        StructureKind.LIST -> "a list"
        else -> if (shape.isInline) name(shape.getElementDescriptor(0)) else "an object"
    }

    private const val SHOWN = 60
}
