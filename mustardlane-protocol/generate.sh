#!/usr/bin/env bash
# Regenerates the committed gRPC code from src/main/proto; needed only after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")"
repository="${MAVEN_REPOSITORY:-$HOME/.m2/repository}"
case "$(uname -m)" in
	x86_64) platform=linux-x86_64 ;;
	aarch64) platform=linux-aarch_64 ;;
	*) echo "no builds of the generators for $(uname -m)" >&2; exit 2 ;;
esac
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:get "-Dartifact=com.google.protobuf:protoc:4.36.2:exe:$platform"
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:get "-Dartifact=io.grpc:protoc-gen-grpc-java:1.83.0:exe:$platform"
protoc="$repository/com/google/protobuf/protoc/4.36.2/protoc-4.36.2-$platform.exe"
plugin="$repository/io/grpc/protoc-gen-grpc-java/1.83.0/protoc-gen-grpc-java-1.83.0-$platform.exe"
chmod +x "$protoc" "$plugin"
rm -rf src/main/java/org/mustardlane/protocol
mkdir -p src/main/java
"$protoc" --plugin=protoc-gen-grpc-java="$plugin" --proto_path=src/main/proto \
	--java_out=src/main/java --grpc-java_out=@generated=omit:src/main/java src/main/proto/*.proto
