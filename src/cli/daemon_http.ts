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

/** HTTP client for daemons: plain, or over TLS if a certificate authority is given. */
export class DaemonHttp {
  readonly #scheme: "http" | "https";
  readonly #dispatcher: Dispatcher | undefined;

  private constructor(ca: string | undefined) {
    this.#scheme = ca === undefined ? "http" : "https";
    this.#dispatcher = ca === undefined ? undefined : createAgent(ca);
  }

  /** `ca` holds the PEM certificates of the authority that signs the daemons. */
  static create(ca?: string): DaemonHttp {
    return new DaemonHttp(ca);
  }

  /** Sends one request; rejects if no response arrives. */
  request(
    address: string,
    path: string,
    options: DaemonRequest,
  ): Promise<Dispatcher.ResponseData> {
    const url = `${this.#scheme}://${address}${path}`;
    return request(url, { ...options, dispatcher: this.#dispatcher });
  }
}

/** Host names are not checked, as between daemons: VMs change addresses, and the authority signs daemons only. */
function createAgent(ca: string): Agent {
  return new Agent({ connect: { ca, checkServerIdentity: () => undefined } });
}
