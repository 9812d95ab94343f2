import { type Agent, request } from "node:http";
import { HEADER } from "../../platform/wire/words.ts";
import { HOST, KEY } from "./installation.ts";

/** How a request ended for its client; `status` is 0 if no head came, and `whole` tells whether all of the body did. */
export type Ending = Readonly<{
  status: number;
  whole: boolean;
  body: string;
  /** Whether the connection had served a request before. */
  kept: boolean;
}>;

/** A request of a client. */
export type ClientRequest = Readonly<{
  /** `host:port` of the daemon. */
  front: string;
  path: string;
  id: string;
  deadlineMs: number;
  agent: Agent;
  headers?: Readonly<Record<string, string>>;
  body?: string;
}>;

/** Sends a request as the pages have it, and waits for its end. */
export function send(options: ClientRequest): Promise<Ending> {
  const { front, path, id, deadlineMs, agent, body = "{}" } = options;
  const [host, port] = front.split(":");
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    const req = request({
      host,
      port: Number(port),
      path,
      agent,
      method: "POST",
      headers: {
        host: HOST,
        [HEADER.requestId]: id,
        [HEADER.leftMs]: deadlineMs,
        authorization: `Bearer ${KEY}`,
        "content-length": body.length,
        ...options.headers,
      },
    });
    const end = (whole: boolean) =>
      resolve({ status, whole, body: text, kept: req.reusedSocket });
    req.on("response", (res) => {
      status = res.statusCode ?? 0;
      res.on("data", (chunk) => text += chunk);
      res.on("end", () => end(res.complete));
      res.on("error", () => end(false));
    });
    req.on("error", () => end(false));
    req.end(body);
  });
}
