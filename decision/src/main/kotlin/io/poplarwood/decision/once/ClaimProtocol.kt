package io.poplarwood.decision.once

import com.github.michaelbull.result.fold
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import java.security.MessageDigest

/** Key of the row that holds the claim of [scopedKey]. */
fun claimRow(scopedKey: String): String {
    val digest = MessageDigest.getInstance("SHA-256").digest(scopedKey.encodeToByteArray())
    return "claim/" + digest.joinToString("") { "%02x".format(it) }
}

/**
 * Claims [scopedKey] for the owner in [wanted], or finds the owner that holds the claim.
 *
 * One conditional insert decides. When the answer to the insert is lost, the row is read back, and the unique nonce in
 * [IssuedKey.callerPart] shows whether the insert took effect. An insert that takes effect after this function has
 * given up leaves a claim that names this run of the entry, which has no record of the key; a resend then runs here.
 */
suspend fun claim(store: TableStore, scopedKey: String, wanted: IssuedKey): ClaimResult {
    val row = claimRow(scopedKey)
    val insert = listOf(RowWrite(row, 0, wanted.toString().encodeToByteArray()))
    repeat(MAX_INSERTS) {
        val failure = store.transact(insert).fold({ null }, { e -> e }) ?: return ClaimResult.Owned(wanted)
        if (failure is StoreFailure.Unavailable || failure is StoreFailure.Throttled) return ClaimResult.Unavailable
        val found = readBack(store, row)
        if (found != ClaimResult.Expired || failure is StoreFailure.Conflict) return found
    }
    return ClaimResult.Unavailable
}

private suspend fun readBack(store: TableStore, row: String): ClaimResult =
    store.read(row).fold({ storedRow -> if (storedRow == null) ClaimResult.Expired else ownerOf(storedRow) }, {
        ClaimResult.Unavailable
    })

private fun ownerOf(row: Row): ClaimResult {
    val claim = IssuedKey.parse(row.value.decodeToString()) ?: return ClaimResult.Unavailable
    return ClaimResult.Owned(claim)
}

/** Inserts tried when their answers are lost and reading back finds no row. */
private const val MAX_INSERTS = 2
