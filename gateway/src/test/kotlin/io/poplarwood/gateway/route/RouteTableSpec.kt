package io.poplarwood.gateway.route

import io.poplarwood.gateway.support.route
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

class RouteTableSpec {
    private val table = RouteTable.of(
        listOf(route("/"), route("/a/"), route("/a/b/"), route("/x/", host = "b.example")),
    )

    @Nested
    inner class `a path with several matching prefixes` {
        /** Guards against requests that are routed by a shorter prefix. */
        @Test
        fun `matches the longest one`() = assertEquals("/a/b/", table.find("a.example", "/a/b/c?q=/x/")?.prefix)

        @Test
        fun `matches a prefix only up to a slash`() = assertEquals("/a/", table.find("a.example", "/a/bc")?.prefix)

        @Test
        fun `ignores the query`() = assertEquals("/", table.find("a.example", "/?/a/b/")?.prefix)
    }

    @Nested
    inner class `a host` {
        @Test
        fun `is matched without its port and case`() =
            assertEquals("/x/", table.find("B.example:8080", "/x/1")?.prefix)

        /** Guards against routes of one host that match requests for another. */
        @Test
        fun `matches only its own routes`() = assertNull(table.find("b.example", "/a/"))

        @Test
        fun `that is unknown matches no route`() = assertNull(table.find("c.example", "/"))
    }

    @Nested
    inner class `a change` {
        private val changed = table.change(
            listOf(RouteKey("a.example", "/a/")),
            listOf(
                route("/y/"),
                route(
                    "/",
                    "s2" to 1,
                ),
            ),
        )

        /** Guards against routes that stay in force after they were removed, or keep earlier settings. */
        @Test
        fun `removes, replaces and adds routes`() {
            assertEquals("/", changed.find("a.example", "/a/x")?.prefix)
            assertEquals("s2", changed.find("a.example", "/")?.shares?.single()?.service?.value)
            assertEquals("/y/", changed.find("a.example", "/y/z")?.prefix)
            assertEquals(table.size, changed.size)
        }

        @Test
        fun `leaves the earlier table as it was`() = assertEquals("/a/", table.find("a.example", "/a/x")?.prefix)

        /** Guards against tables that are equal at two entries and are taken for different. */
        @Test
        fun `has the digest of a table that was built at once`() {
            assertEquals(RouteTable.of(changed.all().toList().reversed()).digest, changed.digest)
            assertNotEquals(table.digest, changed.digest)
        }

        @Test
        fun `is what two tables differ by`() {
            assertEquals(setOf("/y/", "/"), changed.addedSince(table).map { it.prefix }.toSet())
            assertEquals(listOf(RouteKey("a.example", "/a/")), changed.removedSince(table))
        }
    }
}
