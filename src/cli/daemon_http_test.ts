import { createServer, type Server } from "node:https";
import type { AddressInfo } from "node:net";
import { generate } from "selfsigned";
import { afterAll, beforeAll, expect, test } from "vitest";
import { DaemonHttp } from "./daemon_http.ts";
import { HttpAdminClient } from "./http_admin_client.ts";

let server: Server;
let address: string;
let trustedCert: string;

function createCertificate(name: string) {
  return generate([{ name: "commonName", value: name }], { keySize: 2_048 });
}

beforeAll(async () => {
  const { private: key, cert } = await createCertificate("daemon");
  trustedCert = cert;
  server = createServer({ key, cert }, (_, res) => {
    res.end(JSON.stringify({ id: "d", vm: "v", state: "leaving" }));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
});

function drain(ca?: string) {
  return HttpAdminClient.create(DaemonHttp.create(ca)).drain(address);
}

test("a call over TLS succeeds although the certificate does not name the address", async () => {
  expect((await drain(trustedCert))._unsafeUnwrap()).toMatchObject({ id: "d" });
});

test("a call with another authority or without TLS fails", async () => {
  const other = await createCertificate("other");
  expect((await drain(other.cert))._unsafeUnwrapErr().code).toBe("unreachable");
  expect((await drain())._unsafeUnwrapErr().code).toBe("unreachable");
});
