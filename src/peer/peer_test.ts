import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:https";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import { afterAll, afterEach, expect, test } from "vitest";
import type { Envelope } from "../gen/peer.ts";
import { createClientServer } from "../http/https_server.ts";
import type { CountBytes } from "./counted_service.ts";
import { PeerClients } from "./peer_clients.ts";
import {
  mutualTlsCredentials,
  type PeerCredentials,
} from "./peer_credentials.ts";
import { PeerServer } from "./peer_server.ts";

const FOLDER = mkdtempSync(join(tmpdir(), "parsleyfield-tls-"));
const REFRESH_MS = 20;
const ENVELOPE: Envelope = { from: "daemon-1", seq: 1, body: undefined };
const open: (() => void)[] = [];

afterEach(() => {
  for (const close of open.splice(0)) close();
});
afterAll(() => rmSync(FOLDER, { recursive: true }));

type Pem = Readonly<{ private: string; cert: string }>;

function issueCertificate(name: string, ca?: Pem): Promise<Pem> {
  const signer = ca && { key: ca.private, cert: ca.cert };
  return generate([{ name: "commonName", value: name }], {
    keySize: 2_048,
    ca: signer,
    extensions: [
      { name: "basicConstraints", cA: ca === undefined, critical: true },
      {
        name: "keyUsage",
        digitalSignature: true,
        keyEncipherment: true,
        keyCertSign: ca === undefined,
      },
      { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
    ],
  });
}

function writeCertificateFiles(name: string, pem: Pem, ca: Pem) {
  const files = {
    certPath: join(FOLDER, `${name}.crt`),
    keyPath: join(FOLDER, `${name}.key`),
    caPath: join(FOLDER, `${name}.ca`),
  };
  writeFileSync(files.certPath, pem.cert);
  writeFileSync(files.keyPath, pem.private);
  writeFileSync(files.caPath, ca.cert);
  return files;
}

async function listen(credentials?: PeerCredentials, count?: CountBytes) {
  const received: Envelope[] = [];
  const server = PeerServer.create({
    count,
    deliver: (envelope) => received.push(envelope),
    runCall: () => Promise.reject(new Error("Calls are not supported")),
  }, credentials);
  open.push(() => server.kill());
  const port = await server.listen("127.0.0.1:0");
  return { address: `127.0.0.1:${port._unsafeUnwrap()}`, received };
}

async function send(address: string, credentials?: PeerCredentials) {
  const peers = PeerClients.create(credentials);
  open.push(() => peers.close());
  return (await peers.send(address, ENVELOPE)).isOk();
}

test("a message is delivered to a running peer and fails for an address without one", async () => {
  const { address, received } = await listen();
  expect(await send(address)).toBe(true);
  expect(received).toMatchObject([ENVELOPE]);
  expect(await send("127.0.0.1:1")).toBe(false);
});

test("both ends count the bytes of a message", async () => {
  const counted: string[] = [];
  const count = (direction: string, bytes: number) => {
    counted.push(`${direction} ${bytes}`);
  };
  const { address } = await listen(undefined, count);
  const peers = PeerClients.create(undefined, count);
  open.push(() => peers.close());
  await peers.send(address, ENVELOPE);
  expect(counted).toEqual(["sent 12", "received 12"]);
});

test("messages are accepted only from daemons with a certificate signed by the same CA", async () => {
  const [ca, otherCa] = await Promise.all([
    issueCertificate("ca"),
    issueCertificate("other"),
  ]);
  const own = await issueCertificate("daemon", ca);
  const foreign = await issueCertificate("daemon", otherCa);
  const credentials = mutualTlsCredentials(
    writeCertificateFiles("own", own, ca),
  );
  const { address, received } = await listen(credentials);
  expect(await send(address, credentials)).toBe(true);
  expect(await send(address)).toBe(false);
  const stranger = mutualTlsCredentials(
    writeCertificateFiles("foreign", foreign, ca),
  );
  expect(await send(address, stranger)).toBe(false);
  expect(received).toHaveLength(1);
});

test("a renewed certificate is used without a restart", async () => {
  const ca = await issueCertificate("ca");
  const files = writeCertificateFiles(
    "client",
    await issueCertificate("first", ca),
    ca,
  );
  const server = createClientServer((_req, res) => res.end("ok"), files, {
    refreshMs: REFRESH_MS,
  });
  open.push(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  expect(await servedName(port, ca)).toBe("first");
  writeCertificateFiles("client", await issueCertificate("second", ca), ca);
  while (await servedName(port, ca) === "first") continue;
  expect(await servedName(port, ca)).toBe("second");
});

function servedName(port: number, ca: Pem): Promise<string> {
  return new Promise((resolve, reject) => {
    const options = { host: "127.0.0.1", port, ca: ca.cert, agent: false };
    get(options, (res) => {
      const socket = res.socket as import("node:tls").TLSSocket;
      const name = socket.getPeerCertificate().subject.CN;
      res.resume().on("end", () => resolve(String(name)));
    }).on("error", reject);
  });
}
