import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { Millis } from "../core/time.ts";
import {
  type AdminDrain,
  AdminDrainSchema,
  type AdminStatus,
  AdminStatusSchema,
} from "../wire/admin.ts";
import { AdminClient, type AdminError } from "./admin_client.ts";
import { DaemonHttp } from "./daemon_http.ts";

const TIMEOUT_MS: Millis = 5_000;

type AdminCall<Answer> = Readonly<
  { method: "GET" | "POST"; path: string; schema: z.ZodType<Answer> }
>;

/** Admin calls over HTTP. */
export class HttpAdminClient extends AdminClient {
  readonly #http: DaemonHttp;
  readonly #headers: Readonly<Record<string, string>>;

  private constructor(http: DaemonHttp, token: string | undefined) {
    super();
    this.#http = http;
    this.#headers = token === undefined
      ? {}
      : { authorization: `Bearer ${token}` };
  }

  /** `token` is the operators' bearer token, needed if the daemons require it. */
  static create(http = DaemonHttp.create(), token?: string): HttpAdminClient {
    return new HttpAdminClient(http, token);
  }

  override status(address: string): ResultAsync<AdminStatus, AdminError> {
    return this.#call(address, {
      method: "GET",
      path: "/v1/admin/status",
      schema: AdminStatusSchema,
    });
  }

  override drain(address: string): ResultAsync<AdminDrain, AdminError> {
    return this.#call(address, {
      method: "POST",
      path: "/v1/admin/drain",
      schema: AdminDrainSchema,
    });
  }

  #call<Answer>(
    address: string,
    question: AdminCall<Answer>,
  ): ResultAsync<Answer, AdminError> {
    return ResultAsync.fromPromise(
      this.#fetch(address, question),
      (cause): AdminError => ({ code: "unreachable", detail: String(cause) }),
    ).andThen(({ status, text }) => {
      if (status < 300) return parseResponse(text, question.schema);
      const detail = `${address} responded with status ${status}`;
      return errAsync<Answer, AdminError>({ code: "refused", detail });
    });
  }

  async #fetch(
    address: string,
    { method, path }: AdminCall<unknown>,
  ): Promise<Readonly<{ status: number; text: string }>> {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const res = await this.#http.request(address, path, {
      method,
      signal,
      headers: this.#headers,
    });
    return { status: res.statusCode, text: await res.body.text() };
  }
}

function parseResponse<Answer>(
  text: string,
  schema: z.ZodType<Answer>,
): ResultAsync<Answer, AdminError> {
  const parsed = schema.safeParse(parseJson(text));
  if (parsed.success) return okAsync(parsed.data);
  const detail = parsed.error.message;
  return errAsync<Answer, AdminError>({ code: "malformed", detail });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
