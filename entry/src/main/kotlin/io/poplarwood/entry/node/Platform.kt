package io.poplarwood.entry.node

import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.platform.VmList

/** The platform's services as one entry uses them. */
class Platform(val table: TableStore, val objects: ObjectStore, val vms: VmList)
