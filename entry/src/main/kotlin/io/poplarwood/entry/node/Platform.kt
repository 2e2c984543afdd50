package io.poplarwood.entry.node

import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.platform.VmList

/** Platform services that one entry uses. */
class Platform(val table: TableStore, val objects: ObjectStore, val vms: VmList)
