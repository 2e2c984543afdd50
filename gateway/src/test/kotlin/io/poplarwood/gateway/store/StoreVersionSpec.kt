package io.poplarwood.gateway.store

import io.poplarwood.gateway.configuration.ConfigurationVersion
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StoreVersionSpec {
    /** Guards against a version of a restored store that counts as older because its number is lower. */
    @Test
    fun `a later era is newer whatever its number`() {
        assertTrue(StoreVersion(2, 1) > StoreVersion(1, 1_000))
        assertTrue(StoreVersion(1, 1_001) > StoreVersion(1, 1_000))
        assertTrue(StoreVersion(0, 1) > StoreVersion.NONE)
    }

    @Test
    fun `is read from the text that it is written as`() {
        for (version in listOf(StoreVersion.NONE, StoreVersion(3, 57), StoreVersion(1, Long.MAX_VALUE))) {
            assertEquals(version, StoreVersion.parse(version.toString()))
        }
        for (text in listOf("", "57", "1.", ".57", "1.x", "1.57.2")) assertNull(StoreVersion.parse(text), text)
    }

    @Nested
    inner class `the version of a desired state` {
        /** Guards against the older desired state of a copy, which is in a newer row. */
        @Test
        fun `is that of the operators first`() {
            val inForce = ConfigurationVersion(11, StoreVersion(1, 58))
            assertTrue(ConfigurationVersion(8, StoreVersion(2, 57)) < inForce)
            assertTrue(ConfigurationVersion(11, StoreVersion(2, 57)) > inForce)
            assertTrue(ConfigurationVersion(13, StoreVersion(2, 1)) > inForce)
        }

        @Test
        fun `is read from the text that it is written as`() {
            val version = ConfigurationVersion(11, StoreVersion(1, 58))
            assertEquals(version, ConfigurationVersion.parse(version.toString()))
            for (text in listOf("", "11", "11@", "11@58", "@1.58")) assertNull(ConfigurationVersion.parse(text), text)
        }
    }
}
