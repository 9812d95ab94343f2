import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { request } from "undici";
import type { z } from "zod";
import type { Millis } from "../core/time.ts";
import {
  type AdminDrain,
  AdminDrainSchema,
  type AdminStatus,
  AdminStatusSchema,
} from "../wire/admin.ts";
import { AdminClient, type AdminError } from "./admin_client.ts";

const TIMEOUT_MS: Millis = 5_000;

/** Asks daemons over HTTP. */
export class HttpAdminClient extends AdminClient {
  private constructor() {
    super();
  }

  static create(): HttpAdminClient {
    return new HttpAdminClient();
  }

  override status(address: string): ResultAsync<AdminStatus, AdminError> {
    return ask(`http://${address}/v1/admin/status`, {
      method: "GET",
      schema: AdminStatusSchema,
    });
  }

  override drain(address: string): ResultAsync<AdminDrain, AdminError> {
    return ask(`http://${address}/v1/admin/drain`, {
      method: "POST",
      schema: AdminDrainSchema,
    });
  }
}

function ask<Answer>(
  url: string,
  options: { method: "GET" | "POST"; schema: z.ZodType<Answer> },
): ResultAsync<Answer, AdminError> {
  return ResultAsync.fromPromise(
    fetchJson(url, options.method),
    (cause): AdminError => ({ code: "unreachable", detail: String(cause) }),
  ).andThen(({ status, body }) => {
    if (status >= 300) {
      return errAsync<Answer, AdminError>({
        code: "refused",
        detail: `${url} answered ${status}`,
      });
    }
    const parsed = options.schema.safeParse(body);
    if (parsed.success) return okAsync<Answer, AdminError>(parsed.data);
    return errAsync<Answer, AdminError>({
      code: "malformed",
      detail: parsed.error.message,
    });
  });
}

async function fetchJson(
  url: string,
  method: "GET" | "POST",
): Promise<Readonly<{ status: number; body: unknown }>> {
  const res = await request(url, {
    method,
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) return { status: res.statusCode, body: text };
  return { status: res.statusCode, body: JSON.parse(text) };
}
