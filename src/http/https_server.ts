import { readFileSync } from "node:fs";
import { createServer as createHttpServer, type Server } from "node:http";
import type { RequestListener } from "node:http";
import { createServer, type Server as HttpsServer } from "node:https";
import { clearInterval, setInterval } from "node:timers";
import { type Millis, MINUTE_MS } from "../core/time.ts";

const RELOAD_INTERVAL_MS: Millis = MINUTE_MS;

/** Certificate chain and key of the client listener, PEM. */
export type ServerCertificate = Readonly<{ certPath: string; keyPath: string }>;

/** Builds the client listener: plain HTTP without a certificate, else HTTPS with periodic reload of the files. */
export function createClientServer(
  listener: RequestListener,
  certificate: ServerCertificate | undefined,
  options: { refreshMs?: Millis; onError?: (err: Error) => void } = {},
): Server {
  if (certificate === undefined) return createHttpServer(listener);
  const server = createServer(readCertificate(certificate), listener);
  reloadPeriodically(server, certificate, options);
  return server;
}

function readCertificate(certificate: ServerCertificate) {
  return {
    cert: readFileSync(certificate.certPath),
    key: readFileSync(certificate.keyPath),
    minVersion: "TLSv1.2" as const,
  };
}

/** If the files can't be read, the current certificate stays in use. */
function reloadPeriodically(
  server: HttpsServer,
  certificate: ServerCertificate,
  options: { refreshMs?: Millis; onError?: (err: Error) => void },
): void {
  const timer = setInterval(() => {
    try {
      server.setSecureContext(readCertificate(certificate));
    } catch (err) {
      options.onError?.(err as Error);
    }
  }, options.refreshMs ?? RELOAD_INTERVAL_MS);
  timer.unref();
  server.on("close", () => clearInterval(timer));
}
