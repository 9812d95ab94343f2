import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Stand-in for the platform's store: the keyed topics that the daemons, the operator and the workers use. */
export class Store {
  #topics = new Map();
  #server = createServer((req, res) => void this.#serve(req, res));

  async start(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes the newest value of a key; without a value, the key is dropped. */
  put(name, key, value) {
    const text = value === undefined ? "" : JSON.stringify(value);
    this.#append(name, key, Buffer.from(text));
  }

  #topic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { records: [], waiting: new Set() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(name, key, value) {
    const topic = this.#topic(name);
    topic.records.push({ key, value });
    for (const wake of [...topic.waiting]) wake();
    return topic.records.length - 1;
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, "http://store");
    const name = url.searchParams.get("topic");
    const topic = this.#topic(name);
    if (url.pathname === "/api/log-append") {
      const offset = this.#appendAll(name, Buffer.concat(chunks));
      const end = topic.records.length;
      return respond(res, 200, JSON.stringify({ offset, end }));
    }
    if (url.pathname === "/api/log-newest") return this.#newest(topic, res);
    if (url.pathname === "/api/log-read") {
      return await this.#read(topic, url.searchParams, res);
    }
    respond(res, 404, "{}");
  }

  #appendAll(name, body) {
    const first = this.#topic(name).records.length;
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(at + 4, at + 4 + length);
      const keyLength = record[0];
      const key = record.subarray(1, 1 + keyLength).toString();
      this.#append(name, key, record.subarray(1 + keyLength));
      at += 4 + length;
    }
    return first;
  }

  #newest(topic, res) {
    const newest = new Map();
    topic.records.forEach(({ key, value }, offset) => {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString("base64"), offset });
    });
    const end = topic.records.length;
    const items = [...newest.values()];
    respond(res, 200, JSON.stringify({ items, morePages: false, end }));
  }

  async #read(topic, query, res) {
    const from = Number(query.get("from"));
    const waitMs = Number(query.get("waitMs") ?? 0);
    if (from > topic.records.length) return respond(res, 410, '{"first":0}');
    if (from === topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiting.add(resolve);
        res.once("close", resolve);
        res.once("finish", () => clearTimeout(timer));
      }).then(() => topic.waiting.clear());
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = topic.records.slice(from).map(({ key, value }) => {
      const keyBytes = Buffer.from(key);
      const start = Buffer.alloc(5);
      start.writeUInt32BE(1 + keyBytes.length + value.length, 0);
      start.writeUInt8(keyBytes.length, 4);
      return Buffer.concat([start, keyBytes, value]);
    });
    respond(res, 200, Buffer.concat([head, ...parts]));
  }
}

function respond(res, status, body) {
  const length = Buffer.byteLength(body);
  res.writeHead(status, { "Content-Length": length, "Store-Era": 1 });
  res.end(body);
}
