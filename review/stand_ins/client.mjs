import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { request } from "node:http";

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";

/** Sends a GET call; resolves with its status, or with undefined if there was none in time. */
export function get(address, path, timeoutMs) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const req = request({ host, port, path, agent: false }, (res) => {
      res.resume();
      res.once("end", () => resolve(res.statusCode));
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error("time-out")));
    req.once("error", () => resolve(undefined));
    req.end();
  });
}

/**
 * Sends one client attempt on a new connection; resolves with what came until `giveUpMs`: the status, the headers, the
 * body, whether it was whole, and the times of the head and of the end in ms since it was sent.
 */
export function attempt(
  address,
  { id = randomBytes(8).toString("hex"), method = "POST", path, ...rest },
) {
  const { headers = {}, body = "", giveUpMs, onHead = () => {} } = rest;
  const [host, port] = address.split(":");
  const sentAt = performance.now();
  const result = { id, isWhole: false };
  return new Promise((resolve) => {
    const finish = (how) => {
      clearTimeout(timer);
      result.how ??= how;
      result.endMs ??= Math.round(performance.now() - sentAt);
      result.body = Buffer.concat(chunks).toString();
      resolve(result);
    };
    const chunks = [];
    const req = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        "Host": HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": giveUpMs,
        "Authorization": `Bearer ${KEY}`,
        ...(method === "GET" ? {} : { "Content-Length": body.length }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      result.how = "gave up";
      req.destroy();
    }, giveUpMs);
    req.once("response", (res) => {
      result.status = res.statusCode;
      result.headers = res.headers;
      result.headMs = Math.round(performance.now() - sentAt);
      onHead(result);
      res.on("data", (chunk) => chunks.push(chunk));
      res.once("error", () => {});
      res.once("close", () => {
        result.isWhole = res.complete;
        finish(res.complete ? "answered" : "cut");
      });
    });
    req.once("error", (err) => {
      if (result.status === undefined) finish(err.code ?? err.message);
    });
    req.end(body);
  });
}
