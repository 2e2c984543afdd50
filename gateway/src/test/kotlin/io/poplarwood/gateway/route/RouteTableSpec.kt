package io.poplarwood.gateway.route

import io.poplarwood.gateway.support.route
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RouteTableSpec {
    private val table = RouteTable(
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
}
