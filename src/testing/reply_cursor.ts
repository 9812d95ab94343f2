import type { GatewayIntent } from "../gateway/gateway_event.ts";
import type { FakeGateway } from "./fake_gateway_fleet.ts";

/** Reads the replies of daemons to placement requests, each once. */
export class ReplyCursor {
  readonly #handled = new WeakMap<FakeGateway, number>();

  static create(): ReplyCursor {
    return new ReplyCursor();
  }

  /** Replies since the last call for the same daemon. */
  next(gateway: FakeGateway): readonly GatewayIntent[] {
    const from = this.#handled.get(gateway) ?? 0;
    this.#handled.set(gateway, gateway.replies.length);
    return gateway.replies.slice(from);
  }
}
