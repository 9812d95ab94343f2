import { err, type Result, type ResultAsync } from "neverthrow";
import { type Millis, SECOND_MS } from "../core/time.ts";
import { HttpConnections } from "../net/http_connections.ts";
import type { HttpRes } from "../net/http_message.ts";
import { readAnswer } from "../net/json_answer.ts";
import { type Vm, VmListSchema } from "../wire/vm_list.ts";
import { VmListClient, type VmListError } from "./vm_list_client.ts";

const DEFAULT_TIMEOUT_MS: Millis = 5 * SECOND_MS;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** How the VM list is reached. */
export type HttpVmListClientConfig = Readonly<{
  /** `host:port`. */
  address: string;
  timeoutMs?: Millis;
  connectMs?: Millis;
}>;

/** The VM list over HTTP. */
export class HttpVmListClient extends VmListClient {
  readonly #connections: HttpConnections;
  readonly #timeoutMs: Millis;

  private constructor(cfg: HttpVmListClientConfig) {
    super();
    this.#connections = HttpConnections.create({ ...cfg, reuse: true });
    this.#timeoutMs = cfg.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  static create(cfg: HttpVmListClientConfig): HttpVmListClient {
    return new HttpVmListClient(cfg);
  }

  override list(): ResultAsync<readonly Vm[], VmListError> {
    return this.#connections.exchange(
      { method: "GET", path: "/vms", headers: {} },
      { timeoutMs: this.#timeoutMs, maxBytes: MAX_ANSWER_BYTES },
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
  return readAnswer(res, VmListSchema)
    .map((list) => list.vms)
    .mapErr(unreachable);
}

function unreachable(detail: string): VmListError {
  return { code: "unreachable", detail };
}
