package io.poplarwood.fleet

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

class TwoWritersSpec {
    @Nested
    inner class `two operators and a store that loses answers` {
        @Test
        fun `end with exactly one accepted change in every order of the first steps`() {
            // Guards against a change that is applied twice, lost after its acceptance, or accepted for both operators.
            // Explores all sequences of the first DEPTH choices: the next operation to complete and its outcome, or a
            // tick.
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
