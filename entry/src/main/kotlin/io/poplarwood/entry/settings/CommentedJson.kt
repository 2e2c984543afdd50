package io.poplarwood.entry.settings

import kotlinx.serialization.json.Json

/** JSON format of files that operators write: comments and trailing commas are allowed. */
val CommentedJson: Json = Json {
    allowComments = true
    allowTrailingComma = true
}
