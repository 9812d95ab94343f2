import { Agent, type Dispatcher, request } from "undici";

/** Options of one request to a daemon. */
export type DaemonRequest = Readonly<{
  method: "GET" | "POST";
  headers?: Readonly<Record<string, string>>;
  body?: string;
  signal?: AbortSignal;
  headersTimeout?: number;
  bodyTimeout?: number;
}>;

/** HTTP to daemons: plain, or over TLS to those whose certificate a given authority has signed. */
export class DaemonHttp {
  readonly #scheme: "http" | "https";
  readonly #dispatcher: Dispatcher | undefined;

  private constructor(ca: string | undefined) {
    this.#scheme = ca === undefined ? "http" : "https";
    this.#dispatcher = ca === undefined ? undefined : createAgent(ca);
  }

  /** `ca` holds the authority's certificates, PEM. */
  static create(ca?: string): DaemonHttp {
    return new DaemonHttp(ca);
  }

  /** Sends one request; rejects where no answer comes. */
  request(
    address: string,
    path: string,
    options: DaemonRequest,
  ): Promise<Dispatcher.ResponseData> {
    const url = `${this.#scheme}://${address}${path}`;
    return request(url, { ...options, dispatcher: this.#dispatcher });
  }
}

/** Names are not checked, as between daemons: VMs change addresses, and the authority signs daemons only. */
function createAgent(ca: string): Agent {
  return new Agent({ connect: { ca, checkServerIdentity: () => undefined } });
}
