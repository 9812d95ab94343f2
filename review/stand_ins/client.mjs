import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";

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

/** A client that keeps its connection for many requests, one after the other. */
export class KeptClient {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #requests = new WeakMap();

  /** Sends a request; resolves with the status, if there was one, and whether its connection had been used before. */
  send(address, { id, method = "POST", path, body = "", limitMs }) {
    const [host, port] = address.split(":");
    const sentAt = performance.now();
    return new Promise((resolve) => {
      let kept = false;
      const finish = (fields) => {
        const endMs = Math.round(performance.now() - sentAt);
        resolve({ id, kept, endMs, ...fields });
      };
      const req = request({
        host,
        port,
        method,
        path,
        agent: this.#agent,
        headers: {
          "Host": HOST,
          "X-Request-Id": id,
          "X-Deadline-Ms": limitMs,
          "Authorization": `Bearer ${KEY}`,
          "Content-Length": body.length,
        },
      });
      req.once("socket", (socket) => {
        const before = this.#requests.get(socket) ?? 0;
        this.#requests.set(socket, before + 1);
        kept = before > 0;
      });
      req.once("response", (res) => {
        const { statusCode: status } = res;
        res.resume();
        res.once("error", () => {});
        res.once("close", () => finish({ status, isWhole: res.complete }));
      });
      req.once("error", (err) => finish({ error: err.code ?? err.message }));
      req.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
