import { createServer } from "node:http";
import process from "node:process";

/** A web server that is no worker: it knows no path but its own, and answers 404 to all others, as such servers do. */
const host = process.argv[2];

const server = createServer((req, res) => {
  const { method, url, headers } = req;
  process.send({ kind: "foreign", method, url, id: headers["x-request-id"] });
  req.resume();
  const found = url === "/status";
  res.writeHead(found ? 200 : 404, { "Content-Type": "text/plain" });
  res.end(found ? "up\n" : "Not Found\n");
});
server.listen(0, host, () => {
  process.send({ address: `${host}:${server.address().port}` });
});
process.on("disconnect", () => process.exit(0));
