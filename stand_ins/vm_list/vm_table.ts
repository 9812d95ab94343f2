import { addMs, type Millis, type Timestamp } from "../../src/core/time.ts";
import type { Vm } from "../../src/wire/vm_list.ts";

const MAX_PENDING = 10_000;

type Change = Readonly<{ visibleAt: Timestamp; id: string; vm?: Vm }>;

/** A list of VMs whose changes become visible after a lag, in the order of their arrival. */
export class VmTable {
  readonly #visible = new Map<string, Vm>();
  readonly #pending: Change[] = [];

  private constructor() {}

  static create(): VmTable {
    return new VmTable();
  }

  /** Adds or replaces a VM; returns whether there was room for the change. */
  put(now: Timestamp, vm: Vm, options: { lagMs: Millis }): boolean {
    return this.#push({ visibleAt: addMs(now, options.lagMs), id: vm.id, vm });
  }

  /** Removes a VM; returns whether there was room for the change. */
  remove(now: Timestamp, id: string, options: { lagMs: Millis }): boolean {
    return this.#push({ visibleAt: addMs(now, options.lagMs), id });
  }

  /** Returns the VMs as they are visible at `now`. */
  list(now: Timestamp): readonly Vm[] {
    while (this.#pending.length > 0 && this.#pending[0]!.visibleAt <= now) {
      this.#apply(this.#pending.shift()!);
    }
    return [...this.#visible.values()];
  }

  #push(change: Change): boolean {
    if (this.#pending.length >= MAX_PENDING) return false;
    this.#pending.push(change);
    return true;
  }

  #apply(change: Change): void {
    if (change.vm === undefined) this.#visible.delete(change.id);
    else this.#visible.set(change.id, change.vm);
  }
}
