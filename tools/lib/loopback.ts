import { once } from "node:events";
import type { Server, Socket } from "node:net";

/** Listens on a free loopback port, and resolves with it. */
export async function listenOnLoopback(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

/** Closes a server, and breaks its connections off. */
export async function closeServer(
  server: Server,
  sockets: Iterable<Socket> = [],
): Promise<void> {
  const closed = once(server, "close");
  server.close();
  for (const socket of sockets) socket.destroy();
  await closed;
}
