package io.poplarwood.fleet

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

class TwoWritersSpec {
    @Nested
    inner class `two operators and a store that loses answers` {
        @Test
        fun `end with one winner in every order of the first steps`() {
            // Guards against a change applied twice, lost after its acceptance, or accepted for both operators.
            // Exhaustive over the first DEPTH choices: which operation is answered next, and how, or time passing.
            var runs = 0

            fun explore(choices: List<Int>) {
                val run = TwoWriters(choices).run()
                run.check()
                runs++
                if (choices.size < DEPTH) repeat(run.options) { explore(choices + it) }
            }
            explore(emptyList())
            assertTrue(runs > 100, "only $runs runs")
        }
    }

    private companion object {
        const val DEPTH = 6
    }
}
