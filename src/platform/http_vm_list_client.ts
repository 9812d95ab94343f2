import { err, type Result, type ResultAsync } from "neverthrow";
import { type Millis, SECOND_MS } from "../core/time.ts";
import { HttpConnections } from "../net/http_connections.ts";
import type { HttpRes } from "../net/http_message.ts";
import { parseJsonResponse } from "../net/json_response.ts";
import { type Vm, VmListSchema } from "../wire/vm_list.ts";
import { VmListClient, type VmListError } from "./vm_list_client.ts";

const DEFAULT_TIMEOUT_MS: Millis = 5 * SECOND_MS;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Time limits of calls to the VM list. */
export type HttpVmListClientOptions = Readonly<{
  timeoutMs?: Millis;
  connectMs?: Millis;
}>;

/** The VM list over HTTP. */
export class HttpVmListClient extends VmListClient {
  readonly #connections: HttpConnections;
  readonly #timeoutMs: Millis;

  private constructor(url: string, options: HttpVmListClientOptions) {
    super();
    this.#connections = HttpConnections.create({
      ...options,
      url,
      reuse: true,
    });
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** Builds a client for the VM list at a URL. */
  static create(
    url: string,
    options: HttpVmListClientOptions = {},
  ): HttpVmListClient {
    return new HttpVmListClient(url, options);
  }

  override list(): ResultAsync<readonly Vm[], VmListError> {
    return this.#connections.exchange(
      { method: "GET", path: "/vms", headers: {} },
      { timeoutMs: this.#timeoutMs, maxBytes: MAX_RESPONSE_BYTES },
    )
      .mapErr((failure) => unreachable(`${failure.code}: ${failure.detail}`))
      .andThen(toVms);
  }

  close(): Promise<void> {
    return this.#connections.close();
  }
}

function toVms(res: HttpRes): Result<readonly Vm[], VmListError> {
  if (res.status !== 200) {
    return err(unreachable(`The VM list answered with status ${res.status}`));
  }
  return parseJsonResponse(res, VmListSchema)
    .map((list) => list.vms)
    .mapErr(unreachable);
}

function unreachable(detail: string): VmListError {
  return { code: "unreachable", detail };
}
