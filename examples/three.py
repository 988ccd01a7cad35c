"""Writes the configurations of a cluster of three dispatchers to a folder, derived from config.json.

python examples/three.py FOLDER
"""

import json
import sys
from pathlib import Path

EXAMPLES_FOLDER = Path(__file__).parent
FIRST_CLIENT_PORT = 8080
FIRST_ADMIN_PORT = 8180
FIRST_MEMBER_PORT = 8280

folder = Path(sys.argv[1])
folder.mkdir(parents=True, exist_ok=True)
document = json.loads((EXAMPLES_FOLDER / "config.json").read_text())
voters = {f"n{index}": f"127.0.0.1:{FIRST_MEMBER_PORT + index}" for index in range(3)}
document["settings"]["balancers"] = len(voters)
for index, name in enumerate(voters):
    document |= {
        "name": name,
        "listen": f"127.0.0.1:{FIRST_CLIENT_PORT + index}",
        "admin_addr": f"127.0.0.1:{FIRST_ADMIN_PORT + index}",
        "peers": {"name": name, "voters": voters, "folder": str(folder / name)},
    }
    (folder / f"{name}.json").write_text(json.dumps(document, indent=2) + "\n")
