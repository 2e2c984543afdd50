package io.poplarwood.entry.settings

import kotlinx.serialization.json.Json

/** JSON as operators write it: comments and trailing commas are allowed. */
val CommentedJson: Json = Json {
    allowComments = true
    allowTrailingComma = true
}
