package io.poplarwood.bench.answers

/**
 * What upstreams and callers do in one part of the bench.
 *
 * @property label short name, for the entries' logs
 * @property secondShare share of the answers that upstreams send a second time
 * @property cutSeconds whether second answers end within their first bytes
 * @property repeatFailed whether callers send a request that was not served again under its id
 * @property repeatServedShare share of the served requests that callers send again under their id
 * @property rejectionsNameId whether upstreams that reject a request echo its id
 */
internal class AnswersCase(
    val name: String,
    val label: String,
    val secondShare: Double = 0.4,
    val cutSeconds: Boolean = false,
    val repeatFailed: Boolean = true,
    val repeatServedShare: Double = 0.0,
    val rejectionsNameId: Boolean = true,
) {
    companion object {
        val ALL: List<AnswersCase> = listOf(
            AnswersCase("failed and half of the served sent again", "repeats", repeatServedShare = 0.5),
            AnswersCase("failed sent again, rejections name no id", "unnamed", rejectionsNameId = false),
            AnswersCase(
                "ids of their own, rejections name no id",
                "own",
                repeatFailed = false,
                rejectionsNameId = false,
            ),
            AnswersCase("ids of their own, second answers cut", "cut", cutSeconds = true, repeatFailed = false),
            AnswersCase(
                "no second answers",
                "single",
                secondShare = 0.0,
                repeatServedShare = 0.5,
                rejectionsNameId = false,
            ),
        )
    }
}
