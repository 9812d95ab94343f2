import { z } from "zod";

const MAX_COUNTED = 200_000;
const MAX_ITEMS = 10_000;
const DEFAULT_STOCK = 1_000_000;

const count = z.number().int().positive();

/** Body of `POST /reservations`. */
export const ReservationBodySchema = z.object({
  item: z.string().min(1),
  quantity: count,
}).readonly();
/** Body of `POST /orders`. */
export const OrderBodySchema = ReservationBodySchema;
/** Body of `POST /credit-notes`. */
export const CreditNoteBodySchema = z.object({
  order: z.string().min(1),
  cents: count,
}).readonly();

/** Whose call ran. */
export type Caller = Readonly<{ request?: string; key?: string }>;

/** How often calls ran, by their idempotency key and by their request id. */
export type RunCounts = Readonly<{
  total: number;
  by_key: Readonly<Record<string, number>>;
  by_request: Readonly<Record<string, number>>;
}>;

/** Stock, orders and credit notes; each call takes effect as often as it runs. */
export class OrderBook {
  readonly #stock = new Map<string, number>();
  readonly #byKey = new Map<string, number>();
  readonly #byRequest = new Map<string, number>();
  #total = 0;
  #nextNumber = 1;

  private constructor() {}

  static create(): OrderBook {
    return new OrderBook();
  }

  /** Returns how many of an item are left. */
  stock(item: string): number {
    return this.#stock.get(item) ?? DEFAULT_STOCK;
  }

  /** Takes a quantity of an item; returns whether there was enough. */
  take(item: string, quantity: number): boolean {
    const left = this.stock(item) - quantity;
    const full = !this.#stock.has(item) && this.#stock.size >= MAX_ITEMS;
    if (left < 0 || full) return false;
    this.#stock.set(item, left);
    return true;
  }

  /** Returns the next number of a reservation, order or credit note. */
  nextNumber(): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    return number;
  }

  /** Counts a call that takes effect; returns false when no more can be counted. */
  countRun(caller: Caller): boolean {
    if (this.#byRequest.size >= MAX_COUNTED) return false;
    this.#total += 1;
    increment(this.#byKey, caller.key);
    increment(this.#byRequest, caller.request);
    return true;
  }

  /** Returns how often calls ran. */
  runs(): RunCounts {
    return {
      total: this.#total,
      by_key: Object.fromEntries(this.#byKey),
      by_request: Object.fromEntries(this.#byRequest),
    };
  }
}

function increment(counts: Map<string, number>, name: string | undefined) {
  if (name === undefined) return;
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
