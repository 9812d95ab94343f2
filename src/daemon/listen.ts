import type { Server } from "node:http";
import { ResultAsync } from "neverthrow";

/** Host and port of a `host:port` address. */
export type HostPort = Readonly<{ host: string; port: number }>;

/** Splits `host:port`; an IPv6 host is written in brackets. */
export function splitAddress(address: string): HostPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Binds a server to a `host:port` address; fails with the error of the listener. */
export function listenHttp(
  server: Server,
  address: string,
): ResultAsync<void, Error> {
  const { host, port } = splitAddress(address);
  const bound = new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return ResultAsync.fromPromise(bound, (err) => err as Error);
}
