import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import { unexpectedFields } from "../../core/unexpected_error.ts";
import { splitAddress } from "../address.ts";

/** Connect time-out; shorter than the 1 s after which the kernel resends a lost SYN. */
export const CONNECT_TIMEOUT_MS: Millis = 350;

/** Starts to connect to an upstream; half-open, so that a reset can be told from the end of a response. */
export function connectTo(address: string): Socket {
  return connect({ ...splitAddress(address), allowHalfOpen: true });
}

/** Opens a connection to an upstream; the error says why there is none. */
export function openConnection(
  address: string,
): Promise<Result<Socket, string>> {
  return new Promise((resolve) => {
    let socket: Socket;
    try {
      socket = connectTo(address);
    } catch (cause) {
      return resolve(err(unexpectedFields(cause).cause));
    }
    const fail = (detail: string) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(err(detail));
    };
    const timer = setTimeout(
      () => fail("Connection timed out"),
      CONNECT_TIMEOUT_MS,
    );
    const onError = (cause: Error) => fail(cause.message);
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      // Until the connection is used, an error only closes it.
      socket.on("error", () => {});
      resolve(ok(socket));
    });
  });
}
